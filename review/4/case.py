import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness as h

HELD, NEVER_HELD = "key-clerks", "key-nobody"
REVOKE_S = 5.0


async def play(deployment, record, trouble):
    routes = [h.stream_route("quote-draft", "/quote/", 10000, 300, 250),
              h.plain_route("order-book", "/order/", "unsafe", 1000, 150, 1)]
    tenants = [{"name": "t1", "api_keys": [HELD], "priority": 1}]
    await deployment.put_config(h.configuration(1, routes, tenants))
    for i in range(6):
        await h.Runner(deployment, i, "model-pool", 16).start()
    for i in range(3):
        await h.Runner(deployment, i, "order-desk", 6).start()
    await deployment.wait_ready()
    await asyncio.sleep(4.0)
    await deployment.put_config(h.configuration(2, routes, [] if trouble else tenants))
    acknowledged = time.monotonic()
    asked = {HELD: [], NEVER_HELD: []}
    # The consumers keep their channels and go on asking; only what is sent after the bound is judged.
    consumers = [h.Consumer(deployment, machine, key) for machine in deployment.machines
                 for key in (HELD, NEVER_HELD)]
    while time.monotonic() < acknowledged + REVOKE_S + 8:
        late = time.monotonic() > acknowledged + REVOKE_S + 0.5
        for consumer in consumers:
            path, tokens = ("/quote/x", (4960, 86)) if len(asked[consumer.key]) % 2 else ("/order/x", None)
            seen = await consumer.request(path, 10000, tokens)
            if late:
                asked[consumer.key].append(seen)
        await asyncio.sleep(0.5)
    ran = set()
    with open(record.file.name, encoding="ascii") as lines:
        for line in lines:
            event = h.json.loads(line)
            if event["what"] == "run":
                ran.add(event["id"])
    counts = {key: (len(seen), sum(1 for s in seen if s["id"] in ran), sorted({s["status"] for s in seen}))
              for key, seen in asked.items()}
    print("sent later than the bound, run, status:", counts)
    record.add("judged", counts={k: list(v) for k, v in counts.items()})
    revoked_ran = counts[HELD][1] if trouble else 0
    return revoked_ran == 0 and counts[NEVER_HELD][1] == 0


h.run_case(os.path.dirname(os.path.abspath(__file__)), play)
