"""A valid configuration holds a tenant whose name has a space: is it in force in time?"""
import asyncio
import json
import os
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib2"))
from standin2 import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NEW_TENANT = "Sedlar Fit" if TROUBLE else "sedlar-fit"
DAEMONS = 3
# The bound of the settings.
CONFIG_APPLY_MS = 2000

lines = []


def note(text):
    lines.append(text)
    print(text, flush=True)


def version(number, service, tenants):
    routes = [route("u", "unsafe", service, max_attempts=1, timeout_ms=2000, target_latency_ms=300)]
    services = [plain_service("diary-old"), plain_service("diary-new")]
    return configuration(number, routes, services, tenants)


async def main(folder):
    store = Store()
    await store.start()
    record = os.path.join(folder, "engines.jsonl")
    old = {"name": "hule930", "api_keys": ["k1"], "priority": 1}
    leaving = {"name": "kavo114", "api_keys": ["k3"], "priority": 1}
    new = {"name": NEW_TENANT, "api_keys": ["k2"], "priority": 1}
    store.put(NAMES["t_op"], "config", version(1, "diary-old", [old, leaving]))
    extra = {"slots": 6, "work_ms": 15}
    engines = [EngineProcess(service, "a", port, store, record, extra)
               for service, port in zip(("diary-old", "diary-new"), free_ports(2))]
    daemons = [Daemon(f"front-a-{n + 1}", "a", store.port, folder) for n in range(DAEMONS)]
    try:
        for engine in engines:
            asyncio.get_running_loop().create_task(engine.supervise(3.0))
        for daemon in daemons:
            daemon.start()
        return await play(store, engines, daemons, record, [old, new])
    finally:
        end_all(engines)
        end_all(daemons)


async def play(store, engines, daemons, record, tenants):
    async def call(daemon, request_id, key):
        headers = dict(request_headers(request_id, 2000), **{NAMES["h_key"]: key})
        return await send(daemon.front, "POST", "/u/one", headers, b"a booking", limit=3)

    async def serves():
        answers = [await call(d, f"w{now_ms():.0f}{n}", "k1") for n, d in enumerate(daemons)]
        return all(answer[0] == 200 for answer in answers)

    if not await until("calls are served", serves, 30):
        return 2
    await asyncio.sleep(4)
    # One change: a tenant comes, another one goes, and the route moves to the new service.
    ack = store.put(NAMES["t_op"], "config", version(2, "diary-new", tenants))
    note(f"{ack:.0f} version 2 is acknowledged: tenant '{NEW_TENANT}' comes, the route moves, "
         "the key k3 goes")
    calls = []
    started = time.monotonic()
    number = 0
    while time.monotonic() - started < 10:
        for daemon in daemons:
            for key in ("k1", "k2", "k3"):
                number += 1
                sent = now_ms()
                status, *_ = await call(daemon, f"a{number:05d}", key)
                calls.append((f"a{number:05d}", sent - ack, daemon.name, key, status))
        await asyncio.sleep(0.25)
    return judge(engines, record, calls)


def judge(engines, record, calls):
    with open(record, encoding="utf-8") as file:
        rows = [json.loads(row) for row in file]
    service_of = {f"{engine.port:x}": engine.service for engine in engines}
    ran = {row["id"]: service_of[row["engine"].split("-")[1]] for row in rows if row["what"] == "runs"}
    lines.extend(engine_lines(rows))
    stale = 0
    for request_id, after, daemon, key, status in calls:
        service = ran.get(request_id)
        wrong = service == "diary-old" or (key == "k3" and service) or (key == "k2" and status == 401)
        late = after > CONFIG_APPLY_MS
        stale += bool(wrong and late)
        note(f"{after:7.0f} ms after the ack: {request_id} at {daemon} with {key}: status {status}, "
             f"run by {service}{', as only the older version allows' if wrong else ''}")
    note(f"later than {CONFIG_APPLY_MS} ms after the ack {stale} requests were handled as only the "
         "older version allows")
    return 1 if stale else 0


with tempfile.TemporaryDirectory() as temporary:
    try:
        code = asyncio.run(asyncio.wait_for(main(temporary), 115))
    except asyncio.TimeoutError:
        note("the script took too long")
        code = 2
    except Exception as error:  # whatever keeps the case from running is no broken rule
        note(f"the case could not run: {error!r}")
        code = 2
    with open(os.path.join(HERE, "record.txt"), "w", encoding="utf-8") as out:
        out.write("\n".join(lines) + f"\nexit {code}\n")
sys.exit(code)
