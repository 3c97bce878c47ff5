"""A core machine is replaced as planned; then another one loses its disk. See claim.txt."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
from harness_2 import BOUNDS, CaseError, Consumers, Machine, Runner, await_ready, configuration, final_fault_rules, \
    leader_of, operate, record_traffic, run_case  # noqa: E402

SIGTERM_AT_S = float(os.environ.get("SIGTERM_AT", "2.0"))  # after the start of the new machine; the site's largest x of replace_core
FAULT_AT_S = float(os.environ.get("FAULT_AT", "4.15"))  # later than catchup_s after that start
DOWN_S = 0.7


async def end_old_machine(machine, record, start):
    machine.send_signal(signal.SIGTERM)
    record.line("SIGTERM to the old machine %s" % machine.name)
    for role, process in machine.processes.items():
        while process.poll() is None and time.time() < start + SIGTERM_AT_S + BOUNDS["grace_s"]:
            await asyncio.sleep(0.02)
        record.line("old machine: %s has ended" % role if process.poll() is not None else "old machine: SIGKILL to " + role)
    machine.kill()


async def play(deployment, record, trouble):
    runners = [Runner(deployment, number, zone) for number, zone in ((50, "a"), (51, "b"))]
    for runner in runners:
        await runner.start()
    if (await operate(deployment, "POST", "/verbenaproxy/Config.Put", configuration(1), limit=15))[0] != 200:
        raise CaseError("the first configuration was not acknowledged")
    await await_ready(deployment)
    await asyncio.sleep(1.5)
    leader = await leader_of(deployment, configuration(2))
    old, other = [machine for machine in deployment.machines if machine is not leader]
    consumers = Consumers(deployment)
    consumers.start()
    await asyncio.sleep(5)

    start = time.time()
    if trouble:
        new = Machine(deployment, 10, old.zone, True)
        for role in ("control", "entry"):
            new.start(role)
        deployment.machines.append(new)
        record.line("the new machine %s starts with an empty disk at a new address" % new.name)
        await asyncio.sleep(start + SIGTERM_AT_S - time.time())
        deployment.machines.remove(old)
        stopping = asyncio.create_task(end_old_machine(old, record, start))
    await asyncio.sleep(start + FAULT_AT_S - time.time())

    status, _ = await operate(deployment, "POST", "/verbenaproxy/Config.Put", configuration(3))
    if status != 200:
        raise CaseError("version 3 was not acknowledged")
    fault_at = time.time()
    record.line("version 3 is acknowledged, %.3f s after the start of the new machine" % (fault_at - start))
    other.kill()
    other.lose_disk()
    record.line("final fault: machine %s loses its disk" % other.name)
    await asyncio.sleep(DOWN_S)
    for role in ("control", "entry"):
        other.start(role)
    back_at = time.time()
    record.line("machine %s is back with an empty disk" % other.name)

    await asyncio.sleep(BOUNDS["recovery_s"] + 5)
    read_back = []
    while time.time() < back_at + BOUNDS["recovery_s"] + 12:
        read_back.append(await operate(deployment, "GET", "/verbenaproxy/Config.Get", limit=1))
        await asyncio.sleep(0.3)
    consumers.stop()
    await asyncio.sleep(4.6)
    if trouble:
        await stopping
    record_traffic(record, consumers, runners)
    return final_fault_rules(record, consumers.answers, fault_at, back_at, 3, read_back)


run_case(FOLDER, play)
