"""The store comes back from a copy some seconds old; then an engine leaves without a word."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib3"))

import standin3 as s3  # noqa: E402

ZONES = ["zone-a", "zone-b", "zone-c"]
# How long the store is away, and how old the copy is from which it comes back.
AWAY_S = 0.3
COPY_AGE_S = 7.0
# The engine leaves this long after the store is back, which is then stable again.
STABLE_S = 3.0
LEAVE_AFTER_S = 3.1
DRAIN_S = 2.0
# How long the engine that left serves on: the drain time, and many seconds.
SERVES_ON_S = DRAIN_S + 10.0


async def case(record, workspace, daemons, trouble):
    block, ports = s3.free_network()
    store = s3.Store(record)
    await store.start(f"{block}.9")
    replicas = []
    for index, zone in enumerate(ZONES):
        replica = s3.Replica(record, store, f"i-line-{index}", "line", zone)
        await replica.start(f"{block}.{20 + index}")
        replicas.append(replica)
    routes = [s3.route("r-status", "/status/", "line", "safe")]
    store.write(s3.N["topic_operator"], "config", s3.configuration(3, routes, [s3.service("line")]))
    tasks = [asyncio.create_task(store.keep_copies())]
    for index, replica in enumerate(replicas):
        tasks.append(asyncio.create_task(replica.beat(0.4 * index)))
    await asyncio.sleep(1.0)
    seeds = [f"{block}.{40 + index}" for index in range(3)]
    for index, zone in enumerate(ZONES):
        daemons.append(
            s3.Daemon(record, workspace, f"front-{index}", zone, seeds[index], ports, seeds, store)
        )
        daemons[-1].start()
    for daemon in daemons:
        await daemon.wait_until_ready()
    caller = s3.Caller(record)

    async def press(daemon):
        while True:
            asyncio.create_task(caller.send(daemon, "GET", "/status/line-1"))
            await asyncio.sleep(0.1)

    presses = [asyncio.create_task(press(daemon)) for daemon in daemons]
    await asyncio.sleep(COPY_AGE_S + 2.0)
    if trouble:
        record.say(f"the store goes away for {AWAY_S} s")
        copied = await store.go_away(AWAY_S, COPY_AGE_S, silent=True)
        record.say(f"the store is back, with its state of {copied:.3f}")
    back = record.now()
    await asyncio.sleep(LEAVE_AFTER_S)
    leaving = replicas[0]
    acked = leaving.remove_entry()
    record.say(f"{leaving.name} leaves: the store has removed its entry")
    if trouble and acked < back + STABLE_S:
        raise s3.CannotRun("the store was not stable yet")
    await asyncio.sleep(SERVES_ON_S)
    leaving.stop()
    record.say(f"{leaving.name} has ended")
    for task in presses:
        task.cancel()
    await asyncio.sleep(1.0)
    for task in tasks:
        task.cancel()
    for daemon in daemons:
        if not daemon.is_running():
            raise s3.CannotRun(f"{daemon.name} ended by itself")
    sent_by = {request: daemon.name for _, request, daemon, _ in caller.attempts}
    served = sum(1 for _, _, _, result in caller.attempts if result.status == 200)
    record.say(f"{len(caller.attempts)} requests, {served} answered with 200")
    if served < len(caller.attempts) // 2:
        raise s3.CannotRun("most requests were not served")
    late = [
        (at - acked, request) for at, request, _ in leaving.arrivals if at > acked + DRAIN_S
    ]
    record.say(
        f"{leaving.name} got {len(late)} requests later than {DRAIN_S} s after the ack of its leaving"
    )
    if not late:
        return []
    last, _ = late[-1]
    names = sorted({sent_by.get(request, "?") for _, request in late})
    return [f"{len(late)} late arrivals, the last {last:.2f} s after the ack, from {', '.join(names)}"]


s3.run_case(case, HERE)
