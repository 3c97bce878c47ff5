import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness as h

KEY = "key-clerks"
EVENTS = 16
GAP_S = 0.25
FREEZE_S = 6.0
DOWN_S = 3.5
CRASHED = 3  # of 18 runners
SENT = 6


async def play(deployment, record, trouble):
    routes = [h.stream_route("mill-history", "/mill/", 15000, 2500, 1000)]
    await deployment.put_config(h.configuration(1, routes, [{"name": "t1", "api_keys": [KEY], "priority": 1}]))
    runners = [h.Runner(deployment, i, "model-pool", 16) for i in range(18)]
    for runner in runners:
        runner.framed, runner.event_gap_s = False, GAP_S
        await runner.start()
    await deployment.wait_ready()
    await asyncio.sleep(4.0)
    machine = deployment.machines[0]

    async def long_one():
        consumer = h.Consumer(deployment, machine, KEY)
        # A consumer of a stream waits 10 s (four times the objective) for the next event.
        return await consumer.request("/mill/x", 15000, (60000, 43 * EVENTS), patience_s=15.0)

    async def troubles():
        await asyncio.sleep(2.0)
        if not trouble:
            return
        if os.environ.get("FREEZE", "1") != "0":
            record.add("machine_freezes", machine=0)
            machine.entry.signal(signal.SIGSTOP)
            machine.control_process.signal(signal.SIGSTOP)
        await asyncio.sleep(0.5)
        busy = [r for r in runners if r.serving][:CRASHED]
        crashes = asyncio.gather(*(runner.crash(DOWN_S) for runner in busy))
        await asyncio.sleep(FREEZE_S - 0.5)
        machine.entry.signal(signal.SIGCONT)
        machine.control_process.signal(signal.SIGCONT)
        record.add("machine_wakes", machine=0)
        await crashes

    seen, _ = await asyncio.gather(asyncio.gather(*(long_one() for _ in range(SENT))), troubles())
    broken = [s for s in seen if s["complete"] and s["status"] == 200 and s["events"] != EVENTS]
    print("events of each stream:", [(s["events"], "complete" if s["complete"] else "broken off") for s in seen])
    record.add("judged", complete_and_short=[s["id"] for s in broken])
    return not broken


h.run_case(os.path.dirname(os.path.abspath(__file__)), play)
