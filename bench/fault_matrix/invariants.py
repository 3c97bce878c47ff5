"""Checkers of the guarantees G1 to G10. Each takes an Evidence and returns a list of violations as text.

They use the results seen by the callers, the stand-ins' records and the answers to operator calls, never the
counters of the product."""
import collections
import dataclasses

from load import SPACING, expected
from records import engine_spans

# Seconds within which every process has to act on an accepted change.
CHANGE_BOUND = 3.0
# Seconds for which a control member keeps the last status of a process.
STATUS_LEASE = 3.0
# Tolerance in seconds for the deadline of G1, which is measured by the caller.
DEADLINE_SLACK = 1.0


@dataclasses.dataclass
class Evidence:
    requests: list = dataclasses.field(default_factory=list)
    # Record lines by stand-in, see records.read_all().
    records: dict = dataclasses.field(default_factory=dict)
    # Times at which the runner killed an engine, by engine name.
    engine_kills: dict = dataclasses.field(default_factory=dict)
    # Request ids that GET /v1/requests lists as unfinished after the drain, by engine.
    held: dict = dataclasses.field(default_factory=dict)
    # (accepted, returned or None, engines) of a failure domain that was out; `leaving`: the same of an endpoint in the
    # state leaving.
    domain_out: list = dataclasses.field(default_factory=list)
    leaving: list = dataclasses.field(default_factory=list)
    # (name, started, ended): the process received SIGTERM at `started` and ended at `ended` (None: did not end).
    planned_stops: list = dataclasses.field(default_factory=list)
    # (time, member, process, revision) from the operator call "status".
    revisions: list = dataclasses.field(default_factory=list)
    # (time, revision, description) of accepted changes.
    changes: list = dataclasses.field(default_factory=list)
    # Intervals in which a process was killed or paused, by process name: [[from, to or None]].
    down: dict = dataclasses.field(default_factory=dict)
    # Times at which a process was restarted, by process name.
    restarts: dict = dataclasses.field(default_factory=dict)
    # Processes that have to confirm each change.
    processes: list = dataclasses.field(default_factory=list)


def label(request):
    return f"{request.kind} {request.key or request.prompt_tokens} through entry-{request.entry}"


def g1_deadline(evidence):
    found = []
    for request in evidence.requests:
        begin = request.body_sent or request.sent
        if not request.ended:
            found.append(f"{label(request)} did not end")
        elif request.ended - begin > request.deadline + DEADLINE_SLACK:
            found.append(f"{label(request)} ended after {request.ended - begin:.1f} s, deadline {request.deadline} s")
        elif request.broken and not request.error and request.was_ready and \
                not was_down(evidence, f"entry-{request.entry}", request.sent, request.ended):
            found.append(f"{label(request)} lost its connection without an error while its entry was up: {request.broken}")
    return found


def g2_memory(evidence):
    found = [f"{engine} still holds {ids}" for engine, ids in evidence.held.items() if ids]
    for engine, facts in evidence.records.items():
        if engine.startswith("engine"):
            open_runs = [span[0] for span in engine_spans(facts, evidence.engine_kills.get(engine, ())) if span[2] is None]
            if open_runs:
                found.append(f"the record of {engine} shows no end of the runs {open_runs}")
    return found


def g3_overload(evidence):
    return [f"{engine} overload {fact.get('reason')} at {fact['at']:.3f}"
            for engine, facts in evidence.records.items() for fact in facts if fact["fact"] == "overload"]


def starts_while_out(evidence, intervals):
    found = []
    for accepted, returned, engines in intervals:
        for engine in engines:
            for fact in evidence.records.get(engine, []):
                late = fact["at"] - accepted
                if fact["fact"] in ("started", "book") and late > CHANGE_BOUND and \
                        (returned is None or fact["at"] < returned):
                    found.append(f"{engine} started {fact.get('id', fact.get('key'))} {late:.2f} s after the change")
    return found


def g4_domain_out(evidence):
    return starts_while_out(evidence, evidence.domain_out)


def g5_answers(evidence):
    found = []
    for request in evidence.requests:
        if request.kind == "book":
            continue
        text = expected(request)
        if request.done and (request.text != text or not request.whole):
            found.append(f"{label(request)} was reported complete with {len(request.text)} of {len(text)} bytes, "
                         f"{'other text' if not text.startswith(request.text) else 'cut off'}")
        elif not request.done and not text.startswith(request.text):
            found.append(f"{label(request)} has text that does not belong to its answer")
    return found


def g6_not_run(evidence):
    found = []
    books = collections.defaultdict(list)
    for fact in evidence.records.get("desk", []):
        if fact["fact"] == "book":
            books[fact["key"]].append(fact["at"])
    last = {}
    for request in evidence.requests:
        if request.kind == "book":
            if request.outcome == "not_run" and any(at <= request.ended for at in books[request.key]):
                found.append(f"{label(request)} was told not_run ({request.error}) at {request.ended:.3f}, "
                             f"booked at {books[request.key][0]:.3f}")
            if request.key not in last or request.ended > last[request.key].ended:
                last[request.key] = request
    for key, request in last.items():
        if request.outcome == "not_run" and any(at > request.ended for at in books[key]):
            found.append(f"{label(request)} was told not_run and was booked afterwards")
    # The memory figure of a run is at least the prompt length and less than the next prompt length, see SPACING.
    runs = collections.defaultdict(list)
    ids = collections.defaultdict(list)
    for engine, facts in evidence.records.items():
        if engine.startswith("engine"):
            for span in engine_spans(facts, evidence.engine_kills.get(engine, ())):
                ids[span[0]].append(engine)
                if span[3]:
                    runs[span[3] // SPACING].append((engine, span[0]))
    for request in evidence.requests:
        if request.kind != "book" and request.outcome == "not_run":
            if request.id and request.id in ids:
                found.append(f"{label(request)} was told not_run and started as {request.id}")
            if runs[request.prompt_tokens // SPACING]:
                found.append(f"{label(request)} was told not_run ({request.error}) and ran as {runs[request.prompt_tokens // SPACING]}")
    return found


def g7_once(evidence):
    count = collections.Counter(fact["key"] for fact in evidence.records.get("desk", []) if fact["fact"] == "book")
    return [f"key {key} was booked {times} times" for key, times in count.items() if times > 1]


def g8_leaving(evidence):
    return starts_while_out(evidence, evidence.leaving)


def g9_planned_stop(evidence):
    found = []
    for name, started, ended in evidence.planned_stops:
        if ended is None:
            found.append(f"{name} did not end after SIGTERM")
        for request in evidence.requests:
            last = ended if ended is not None else started + 60
            if not request.was_ready or request.sent > last or request.ended < started:
                continue
            if name.startswith("entry-") and request.entry != int(name[6:]):
                continue
            # A refusal of a new request for another reason is a valid answer. An open request that fails because the
            # process stops counts as interrupted, even if its caller is told that it has not run.
            refused_by_stop = request.sent <= started and "stopping" in request.message
            if request.broken or (request.first and not request.done) or request.status in (502, 504) or refused_by_stop:
                found.append(f"{label(request)} sent {request.sent - started:+.2f} s from the SIGTERM of {name} "
                             f"broke: {request.broken or request.message or request.error or 'cut'}")
    return found


def was_down(evidence, name, begin, end):
    return any(low < end and (high is None or high > begin - 1) for low, high in evidence.down.get(name, []))


def g10_configuration(evidence):
    found = []
    for at, revision, what in evidence.changes:
        for name in evidence.processes:
            if was_down(evidence, name, at, at + CHANGE_BOUND):
                continue
            seen = [when for when, _, process, value in evidence.revisions if process == name and value >= revision]
            if not seen or min(seen) > at + CHANGE_BOUND + 0.2:
                late = f"first seen after {min(seen) - at:.1f} s" if seen else "never seen"
                found.append(f"{name} did not confirm revision {revision} ({what}): {late}")
    highest = {}
    for at, member, process, value in sorted(evidence.revisions):
        key = (member, process)
        # A process that has just started has no configuration, and a member that has just started knows no process.
        # After a restart of a process, a member may report the old process for up to STATUS_LEASE.
        starts = evidence.restarts.get(process, []) + evidence.restarts.get(member, [])
        before, seen_at = highest.get(key, (0, 0))
        if value < before and not any(seen_at - STATUS_LEASE < start <= at for start in starts):
            found.append(f"{member} shows {process} at revision {value} after {before}")
        highest[key] = (value, at)
    return found


ALL = {"G1": g1_deadline, "G2": g2_memory, "G3": g3_overload, "G4": g4_domain_out, "G5": g5_answers,
       "G6": g6_not_run, "G7": g7_once, "G8": g8_leaving, "G9": g9_planned_stop, "G10": g10_configuration}


def check_all(evidence):
    return {name: check(evidence) for name, check in ALL.items()}
