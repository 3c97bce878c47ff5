#!/usr/bin/env python3
"""Shows for each checker that it can fail: valid evidence passes, and evidence with a violation is reported."""
import unittest

import invariants
from invariants import Evidence
from load import Request, expected
from records import engine_spans


def fact(kind, at, **fields):
    return {"fact": kind, "at": at, "at_us": int(at * 1e6), **fields}


def chat(**fields):
    request = Request("short", 1, sent=100.0, body_sent=100.0, prompt="hello", prompt_tokens=256, max_tokens=5,
                      first=100.2, last=100.5, ended=100.5, status=200, id="a-1", done=True, whole=True)
    request.text = expected(request)
    for name, value in fields.items():
        setattr(request, name, value)
    return request


def refused_chat(**fields):
    return chat(prompt_tokens=512, first=0, last=0, status=503, id="", done=False, whole=False, text="",
                error="overloaded", outcome="not_run", **fields)


def booking(**fields):
    request = Request("book", 1, sent=100.0, body_sent=100.0, key="k1", ended=100.1, status=201, done=True, whole=True)
    for name, value in fields.items():
        setattr(request, name, value)
    return request


def valid_evidence():
    """Evidence without a violation."""
    return Evidence(
        requests=[chat(), refused_chat(), booking(),
                  booking(key="k2", done=False, status=503, error="overloaded", outcome="not_run")],
        records={"engine-1": [fact("cold", 90.0, tokens=0), fact("started", 100.1, id="a-1", tokens=0),
                              fact("finished", 100.4, id="a-1", tokens=261), fact("peak_memory", 100.4, tokens=261)],
                 "desk": [fact("book", 100.05, key="k1", order=1)]},
        held={"engine-1": []}, domain_out=[(101.0, 110.0, ["engine-1", "desk"])],
        leaving=[(101.0, 110.0, ["engine-1"])], planned_stops=[("entry-1", 99.0, 101.0)],
        changes=[(100.0, 2, "weight")], processes=["entry-1"],
        revisions=[(99.9, "control-1", "entry-1", 1), (100.6, "control-1", "entry-1", 2)])


class CheckerTest(unittest.TestCase):
    def assert_violations(self, name, evidence, count=1):
        """Asserts that the checker finds this many violations in the evidence and none in valid evidence."""
        self.assertEqual(invariants.ALL[name](valid_evidence()), [])
        found = invariants.ALL[name](evidence)
        self.assertEqual(len(found), count, found)

    def test_valid_evidence_passes_every_checker(self):
        self.assertEqual({name: found for name, found in invariants.check_all(valid_evidence()).items() if found}, {})

    def test_g1_reports_a_request_past_its_deadline(self):
        evidence = valid_evidence()
        evidence.requests.append(chat(ended=116.5, done=False, whole=False, text="", status=504))
        self.assert_violations("G1", evidence)

    def test_g1_reports_a_request_without_an_end(self):
        evidence = valid_evidence()
        evidence.requests.append(chat(ended=0))
        self.assert_violations("G1", evidence)

    def test_g1_reports_a_connection_lost_without_an_error_unless_its_entry_was_down(self):
        evidence = valid_evidence()
        evidence.requests.append(chat(done=False, whole=False, text="", broken="RemoteDisconnected"))
        self.assert_violations("G1", evidence)
        evidence.down["entry-1"] = [[100.1, 102.0]]
        self.assertEqual(invariants.g1_deadline(evidence), [])

    def test_g2_reports_a_request_that_the_engine_lists_after_the_drain(self):
        evidence = valid_evidence()
        evidence.held["engine-1"] = ["b-1"]
        self.assert_violations("G2", evidence)

    def test_g2_reports_a_started_request_without_an_end_in_the_record(self):
        evidence = valid_evidence()
        evidence.records["engine-1"].append(fact("started", 103.0, id="b-1", tokens=0))
        self.assert_violations("G2", evidence)

    def test_g3_reports_overloads_of_both_reasons(self):
        evidence = valid_evidence()
        evidence.records["engine-1"].append(fact("overload", 103.0, reason="cold", tokens=0))
        evidence.records["engine-1"].append(fact("overload", 104.0, reason="memory", tokens=0))
        self.assert_violations("G3", evidence, 2)

    def test_g4_reports_a_start_4_s_after_the_removal_but_not_2_9_s(self):
        evidence = valid_evidence()
        evidence.records["engine-1"] += [fact("started", 103.9, id="b-1"), fact("finished", 104.0, id="b-1", tokens=900)]
        self.assertEqual(invariants.g4_domain_out(evidence), [])
        evidence.records["engine-1"] += [fact("started", 105.0, id="c-1"), fact("finished", 105.1, id="c-1", tokens=901)]
        self.assert_violations("G4", evidence)

    def test_g4_reports_a_booking_4_s_after_the_removal(self):
        evidence = valid_evidence()
        evidence.records["desk"].append(fact("book", 105.0, key="k9", order=2))
        self.assert_violations("G4", evidence)

    def test_g5_reports_a_truncated_answer_that_was_reported_complete(self):
        evidence = valid_evidence()
        evidence.requests.append(chat(text=chat().text[:-8]))
        self.assert_violations("G5", evidence)

    def test_g5_reports_an_empty_answer_that_was_reported_complete(self):
        evidence = valid_evidence()
        evidence.requests.append(chat(text=""))
        self.assert_violations("G5", evidence)

    def test_g5_reports_the_answer_to_another_prompt(self):
        evidence = valid_evidence()
        evidence.requests.append(chat(text=chat(prompt="other").text))
        evidence.requests.append(chat(text=chat(prompt="other").text[:9], done=False, whole=False))
        evidence.requests[-1].text = expected(chat(prompt="other"))[:9]
        evidence.requests[-2].text = expected(chat(prompt="other"))
        self.assert_violations("G5", evidence, 2)

    def test_g5_reports_done_without_the_last_chunk(self):
        evidence = valid_evidence()
        evidence.requests.append(chat(whole=False))
        self.assert_violations("G5", evidence)

    def test_g6_reports_a_booking_that_ran_and_was_told_not_run(self):
        evidence = valid_evidence()
        evidence.records["desk"].append(fact("book", 100.02, key="k2", order=2))
        self.assert_violations("G6", evidence)

    def test_g6_reports_a_booking_that_ran_after_not_run(self):
        evidence = valid_evidence()
        evidence.records["desk"].append(fact("book", 104.0, key="k2", order=2))
        self.assert_violations("G6", evidence)

    def test_g6_reports_not_run_on_a_resend_of_a_key_that_ran(self):
        evidence = valid_evidence()
        evidence.requests.append(booking(sent=101.0, ended=101.1, done=False, status=503, outcome="not_run"))
        self.assert_violations("G6", evidence)

    def test_g6_reports_a_model_request_that_ran_and_was_told_not_run(self):
        evidence = valid_evidence()
        evidence.records["engine-1"] += [fact("started", 100.1, id="b-1"), fact("cancelled", 100.2, id="b-1", tokens=520)]
        self.assert_violations("G6", evidence)

    def test_g7_reports_a_second_book_line_of_one_key(self):
        evidence = valid_evidence()
        evidence.records["desk"].append(fact("book", 100.08, key="k1", order=2))
        self.assert_violations("G7", evidence)

    def test_g8_reports_a_start_4_s_after_leaving(self):
        evidence = valid_evidence()
        evidence.records["engine-1"] += [fact("started", 105.0, id="c-1"), fact("finished", 105.1, id="c-1", tokens=901)]
        self.assert_violations("G8", evidence)

    def test_g9_reports_a_stream_broken_by_a_planned_stop(self):
        evidence = valid_evidence()
        evidence.requests.append(chat(done=False, whole=False, text="", broken="IncompleteRead"))
        self.assert_violations("G9", evidence)

    def test_g9_reports_an_open_request_that_is_refused_because_of_the_stop(self):
        evidence = valid_evidence()
        evidence.planned_stops = [("model-1", 100.05, 101.0)]
        evidence.requests.append(refused_chat(message="no endpoint took it: the endpoint's process is stopping"))
        self.assert_violations("G9", evidence)

    def test_g9_reports_a_process_that_does_not_end(self):
        evidence = valid_evidence()
        evidence.planned_stops = [("model-1", 99.0, None)]
        self.assert_violations("G9", evidence)

    def test_g10_reports_a_process_that_confirms_late_or_never(self):
        evidence = valid_evidence()
        evidence.revisions[-1] = (103.5, "control-1", "entry-1", 2)
        self.assert_violations("G10", evidence)
        evidence.revisions.pop()
        self.assert_violations("G10", evidence)

    def test_g10_reports_a_lower_revision(self):
        evidence = valid_evidence()
        evidence.revisions.append((101.0, "control-1", "entry-1", 1))
        self.assert_violations("G10", evidence)

    def test_g10_allows_a_lower_revision_only_after_a_restart(self):
        evidence = valid_evidence()
        evidence.revisions.append((101.0, "control-1", "entry-1", 0))
        evidence.restarts["entry-1"] = [100.8]
        self.assertEqual(invariants.g10_configuration(evidence), [])
        evidence.restarts["entry-1"] = [90.0, 101.2]
        self.assert_violations("G10", evidence)

    def test_spans_end_with_an_overload_a_fault_and_a_kill(self):
        facts = [fact("started", 1.0, id="a"), fact("overload", 2.0, reason="cold"), fact("started", 3.0, id="b"),
                 {"fact": "fault", "kind": "die", "at": 4.0}, fact("started", 5.0, id="c")]
        self.assertEqual([span[2] for span in engine_spans(facts, [6.0])], [2.0, 4.0, 6.0])


if __name__ == "__main__":
    unittest.main()
