"""A write of an engine is carried out late, after it has left and the reader of the zone was stopped."""
import asyncio
import json
import os
import signal
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib2"))
from standin2 import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Whether the first daemon is stopped as planned; with 0 it runs on, for comparison.
STOP = os.environ.get("STOP", "1") != "0"
REPLICAS, DAEMONS = 4, 3
# The bounds of the settings.
DRAIN_MS, STABLE_WINDOW_MS = 2000, 3000
BEAT_S = 1.2
# After the unanswered write the reader is told to stop, the engine leaves, and the write is done.
STOP_AFTER_S, LEAVES_AFTER_S, DONE_AFTER_S = 1.4, 3.4, 5.9
# The balancer sends no more consumers to a daemon so long after it was told to stop.
MISSES_S = 2.0
# The store drops an entry after three intervals of silence.
LAPSE_S = 3 * BEAT_S

lines = []


def note(text):
    lines.append(text)
    print(text, flush=True)


async def main(folder):
    store = Store()
    await store.start()
    record = os.path.join(folder, "engines.jsonl")
    routes = [route("g", "safe", "diary", timeout_ms=4000, target_latency_ms=300)]
    store.put(NAMES["t_op"], "config", configuration(1, routes, [plain_service("diary")]))
    engines = [EngineProcess("diary", "a", port, store, record, {"slots": 6, "work_ms": 15})
               for port in free_ports(REPLICAS)]
    daemons = [Daemon(f"front-a-{n + 1}", "a", store.port, folder) for n in range(DAEMONS)]
    try:
        supervisors = [asyncio.get_running_loop().create_task(engine.supervise(3.0))
                       for engine in engines]
        for daemon in daemons:
            daemon.start()
        return await play(store, engines, supervisors, daemons, record)
    finally:
        end_all(engines)
        end_all(daemons)


def unanswered_write(engine):
    """The engine's next entry, which it counts but which does not reach the log now."""
    entry = json.loads(engine.store.newest[NAMES["t_servers"]][engine.id][0])
    engine.seq += 1
    entry["seq"] = engine.seq
    return json.dumps(entry).encode()


async def play(store, engines, supervisors, daemons, record):
    async def call(daemon, request_id):
        return await send(daemon.front, "GET", "/g/one", request_headers(request_id, 4000), limit=5)

    async def serves():
        answers = [await call(d, f"w{now_ms():.0f}{n}") for n, d in enumerate(daemons)]
        return all(answer[0] == 200 for answer in answers)

    if not await until("calls are served", serves, 30):
        return 2
    await asyncio.sleep(8)
    leaver, supervisor = engines[0], supervisors[0]
    # One write of the engine gets no answer, and the store carries it out some seconds later. The
    # engine goes on with its count.
    late = unanswered_write(leaver)
    started = time.monotonic()
    note(f"{now_ms():.0f} a write of {leaver.id} is not answered: {late.decode()}")
    calls, ends = {}, {}
    running = set(daemons)

    async def consumer(daemon):
        number = 0
        while daemon in running:
            number += 1
            request_id = f"{daemon.name}-{number}"
            calls[request_id] = (now_ms(), daemon.name)
            status, *_ = await call(daemon, request_id)
            ends[status] = ends.get(status, 0) + 1
            lines.append(f"{now_ms():.0f} consumer: {request_id}: status {status}")
            await asyncio.sleep(0.03)

    consumers = [asyncio.create_task(consumer(daemon)) for daemon in daemons]

    async def at(seconds):
        await asyncio.sleep(max(0, started + seconds - time.monotonic()))

    async def stop(daemon):
        await at(STOP_AFTER_S)
        daemon.process.send_signal(signal.SIGTERM)
        note(f"{now_ms():.0f} {daemon.name} gets SIGTERM")
        await at(STOP_AFTER_S + MISSES_S)
        running.discard(daemon)
        while daemon.process.poll() is None:
            await asyncio.sleep(0.02)
        note(f"{now_ms():.0f} {daemon.name} has ended")

    if STOP:
        consumers.append(asyncio.create_task(stop(daemons[0])))
    await at(LEAVES_AFTER_S)
    # It leaves without a word: its entry is removed, and it serves on for some seconds.
    supervisor.cancel()
    ack = store.put(NAMES["t_servers"], leaver.id, b"")
    note(f"{ack:.0f} the entry of {leaver.id} is removed; its last one had seq {leaver.seq}")
    await at(DONE_AFTER_S)
    if TROUBLE:
        store.put(NAMES["t_servers"], leaver.id, late)
        note(f"{now_ms():.0f} the unanswered write is done")
    await at(DONE_AFTER_S + LAPSE_S)
    store.put(NAMES["t_servers"], leaver.id, b"")
    note(f"{now_ms():.0f} the entry lapses")
    await at(DONE_AFTER_S + LAPSE_S + 3)
    running.clear()
    await asyncio.wait(consumers, timeout=6)
    return judge(record, leaver.id, ack, calls, ends)


def judge(record, leaver, ack, calls, ends):
    with open(record, encoding="utf-8") as file:
        rows = [json.loads(row) for row in file]
    lines.extend(engine_lines(rows))
    late = []
    for row in rows:
        if row["what"] != "sent" or row["id"] not in calls:
            continue
        if row["engine"] == leaver and row["t"] > ack + DRAIN_MS:
            late.append((row["t"] - ack, calls[row["id"]][1]))
    note(f"calls: {len(calls)}, how they ended: {ends}")
    if late:
        note(f"{len(late)} requests reached {leaver} later than {DRAIN_MS} ms after the ack, from "
             f"{late[0][0]:.0f} to {late[-1][0]:.0f} ms, sent by {sorted({name for _, name in late})}")
    else:
        note(f"no request reached {leaver} later than {DRAIN_MS} ms after the ack")
    return 1 if late else 0


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
