"""Compares predicted with measured times to the first event, from the log of a benchmark run of one day.

Usage: fleetbench run SITE DAY --log all > FILE; python3 bench/platform/predictions.py FILE
Prints for each class of prompt length: requests, median and p95 of the predicted and the measured time, and the
error, for requests that ended with their first attempt.
"""

import json
import statistics
import sys

LENGTHS = ((8_000, "short"), (30_000, "medium"), (100_000, "long"), (230_000, "longer"), (10**9, "longest"))


def lines(path):
    with open(path, encoding="utf-8", errors="replace") as log:
        for text in log:
            start = text.find('{"time"')
            if start < 0:
                continue
            try:
                yield json.loads(text[start:])
            except ValueError:
                continue


def quantile(values, share):
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * share))]


def main():
    first = {}
    rows = {name: [] for _, name in LENGTHS}
    for event in lines(sys.argv[1]):
        if event["event"] == "dispatched" and event["attempt"] == 1 and event["prompt_tokens"]:
            first[event["request"]] = event
        if event["event"] == "request_ended" and event["request"] in first and event["first_event_ms"]:
            start = first[event["request"]]
            if event["attempts"] == 1:
                name = next(label for bound, label in LENGTHS if start["prompt_tokens"] <= bound)
                rows[name].append((start["predicted_ms"], event["first_event_ms"], start["helpers"],
                                   start["reserved_tokens"], event["total_ms"]))
    print("length    requests  predicted p50/p95     seen p50/p95    error p50/p95  helpers  reserved share")
    for name, values in rows.items():
        if not values:
            continue
        predicted = [v[0] for v in values]
        measured = [v[1] for v in values]
        error = [abs(v[1] - v[0]) for v in values]
        print(f"{name:9} {len(values):8}  {quantile(predicted, .5):9} {quantile(predicted, .95):9} "
              f"{quantile(measured, .5):9} {quantile(measured, .95):6} "
              f"{quantile(error, .5):9} {quantile(error, .95):6} "
              f"{statistics.mean(v[2] for v in values):8.1f}  {sum(v[3] > 0 for v in values) / len(values):6.2f}")


if __name__ == "__main__":
    main()
