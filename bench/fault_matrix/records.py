"""Reads the record files that the stand-ins write."""
import json
import pathlib


def read_record(file):
    facts = []
    path = pathlib.Path(file)
    if not path.exists():
        return facts
    for line in path.read_text().splitlines():
        try:
            fact = json.loads(line)
        except ValueError:
            continue  # incomplete last line of a killed process
        fact["at"] = fact["at_us"] / 1e6
        facts.append(fact)
    return facts


def read_all(folder):
    """Record of each stand-in by its name, "engine-1" to "engine-4" and "desk"."""
    return {file.stem: read_record(file) for file in sorted(pathlib.Path(folder).glob("*.record"))}


def engine_spans(facts, ends=()):
    """Returns [id, start, end or None, tokens] of every run in one engine's record. All open runs end at an overload,
    at the fault "die" and at the times in `ends`, when the runner killed the process."""
    events = sorted([(fact["at"], fact) for fact in facts] +
                    [(at, {"fact": "overload", "at": at}) for at in ends], key=lambda item: item[0])
    spans, running = [], {}
    for at, fact in events:
        kind = fact["fact"]
        if kind == "started":
            running[fact["id"]] = len(spans)
            spans.append([fact["id"], at, None, 0])
        elif kind in ("finished", "cancelled") and fact.get("id") in running:
            span = spans[running.pop(fact["id"])]
            span[2], span[3] = at, fact.get("tokens", 0)
        elif kind == "overload" or (kind == "fault" and fact.get("kind") == "die"):
            for index in running.values():
                spans[index][2] = at
            running.clear()
    return spans
