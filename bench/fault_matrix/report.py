"""Prints results and writes the table of docs/fault-matrix.md."""
import datetime
import pathlib

NAMES = [f"G{i}" for i in range(1, 11)]
STEPS = ["before admission", "queued", "dispatched", "prefill", "streaming", "answer buffered", "done",
         "booking before run", "booked"]
BEGIN, END = "<!-- results begin -->", "<!-- results end -->"


def failed(result):
    return bool(result["errors"]) or any(result["violations"].values())


def print_row(result, seconds):
    print(f"{'FAIL' if failed(result) else 'ok  '} {result['row']} ({seconds:.0f} s) {result['figures']}")
    print(f"     steps hit: {result['cells']}")
    for error in result["errors"]:
        print(f"     error: {error}")
    for name, found in result["violations"].items():
        for line in found[:5]:
            print(f"     {name}: {line}")
        if len(found) > 5:
            print(f"     {name}: {len(found) - 5} more", flush=True)
    print(end="", flush=True)


def cell(result, name):
    found = result["violations"][name]
    return f"**FAIL {len(found)}**" if found else "ok"


def tables(results, seed, untested, arguments):
    lines = [f"Last run: {datetime.date.today()}, seed {seed}, "
             f"`python3 bench/fault_matrix/run.py {arguments}`.", "",
             "| fault | " + " | ".join(NAMES) + " | runner |", "|---" * (len(NAMES) + 2) + "|"]
    for result in results:
        lines.append(f"| {result['row']} | " + " | ".join(cell(result, name) for name in NAMES) + " | " +
                     ("; ".join(result["errors"]) or "ok") + " |")
    for name, reason in untested.items():
        lines.append(f"| {name} | " + " | ".join(["not run"] * len(NAMES)) + f" | {reason} |")
    lines += ["", "| fault | requests | done | answered otherwise | broken | longest time without an answer: chat, "
              "booking (s) | slowest request (s) |", "|---" * 7 + "|"]
    for result in results:
        figures = result["figures"]
        lines.append(f"| {result['row']} | {figures['requests']} | {figures['done']} | " +
                     (", ".join(f"{count} {what}" for what, count in figures["not_done"].items()) or "0") + " | " +
                     (", ".join(f"{count} {what}" for what, count in figures["broken"].items()) or "0") +
                     f" | {figures['gap_chat_s']}, {figures['gap_book_s']} | {figures['slowest_s']} |")
    lines += ["", "Requests at each step when the fault came; 0 is a cell that this run did not hit.", "",
              "| fault | " + " | ".join(STEPS) + " |", "|---" * (len(STEPS) + 1) + "|"]
    for result in results:
        lines.append(f"| {result['row']} | " + " | ".join(str(result["cells"].get(step, 0)) for step in STEPS) + " |")
    for name in untested:
        lines.append(f"| {name} | " + " | ".join(["not run"] * len(STEPS)) + " |")
    lines += ["", "G4, G8 and G9 have something to check only in the rows domain-out, endpoint-leaving and term-*."]
    failures = [f"- {result['row']}: {error}" for result in results for error in result["errors"]]
    failures += [f"- {result['row']} {name}: {line}" for result in results
                for name, found in result["violations"].items() for line in found[:3]]
    if failures:
        lines += ["", "Processes that ended by themselves, and violations (at most three of each kind):", "", *failures]
    return "\n".join(lines)


def write_page(file, results, seed, untested, arguments):
    """Replaces the part of the page between the two markers."""
    page = pathlib.Path(file)
    head, rest = page.read_text().split(BEGIN)
    page.write_text(head + BEGIN + "\n" + tables(results, seed, untested, arguments) + "\n" + END + rest.split(END)[1])
