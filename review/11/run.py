"""The store comes back from a copy some seconds old, and the operator's next change takes no effect."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib3"))

import standin3 as s3  # noqa: E402

ZONES = ["zone-a", "zone-b", "zone-c"]
# How long the store is away, and how old the copy is from which it comes back.
AWAY_S = 0.3
COPY_AGE_S = 5.0
# The operator writes again what was lost, and then its next change.
AGAIN_S = 0.1
NEXT_S = 0.1
# The stable window.
STABLE_S = 3.0
# The bound of a configuration, and by how much an unstable store stretches it.
APPLY_S = 2.0
OUTER_S = 5.0
# How long requests are sent after these have passed.
WATCH_S = 15.0
DROPPED, KEPT = "key-dropped", "key-kept"


async def case(record, workspace, daemons, trouble):
    block, ports = s3.free_network()
    store = s3.Store(record)
    await store.start(f"{block}.9")
    replicas = []
    for index, zone in enumerate(ZONES):
        replica = s3.Replica(record, store, f"i-line-{index}", "line", zone)
        await replica.start(f"{block}.{20 + index}")
        replicas.append(replica)

    def write(version, keys, timeout_ms=600):
        routes = [s3.route("r-status", "/status/", "line", "safe", timeout_ms=timeout_ms)]
        tenants = [{"name": "station", "api_keys": keys}]
        value = s3.configuration(version, routes, [s3.service("line")], tenants)
        acked = store.write(s3.N["topic_operator"], "config", value)
        if acked is None:
            raise s3.CannotRun("the store is away as the operator writes")
        record.say(f"the store has taken version {version}")
        return acked

    write(3, [KEPT, DROPPED])
    asyncio.create_task(store.keep_copies())
    for index, replica in enumerate(replicas):
        asyncio.create_task(replica.beat(0.4 * index))
    await asyncio.sleep(1.0)
    seeds = [f"{block}.{40 + index}" for index in range(3)]
    for index, zone in enumerate(ZONES):
        daemons.append(
            s3.Daemon(record, workspace, f"front-{index}", zone, seeds[index], ports, seeds, store)
        )
        daemons[-1].start()
    for daemon in daemons:
        await daemon.wait_until_ready()
    await asyncio.sleep(COPY_AGE_S + 1.0)
    # Two changes of a timeout, of which the copy will know nothing.
    write(5, [KEPT, DROPPED], 700)
    await asyncio.sleep(2.0)
    write(8, [KEPT, DROPPED], 800)
    await asyncio.sleep(2.0)
    if trouble:
        record.say(f"the store goes away for {AWAY_S} s")
        copied = await store.go_away(AWAY_S, COPY_AGE_S, silent=True)
        record.say(f"the store is back, with its state of {copied:.3f}")
        await asyncio.sleep(AGAIN_S)
        # What the operator wrote is written again: the newest configuration, in full.
        write(8, [KEPT, DROPPED], 800)
        await asyncio.sleep(NEXT_S)
    # The next change takes a key away.
    dropped = write(9, [KEPT], 800)
    await asyncio.sleep(APPLY_S + OUTER_S + STABLE_S)
    caller = s3.Caller(record)
    ends = record.now() + WATCH_S
    late = []
    while record.now() < ends:
        for daemon in daemons:
            for key in (DROPPED, KEPT):
                sent = record.now()
                request, result = await caller.send(
                    daemon, "GET", "/status/line-1", headers={s3.N["key"]: key}
                )
                if key == KEPT and result.status != 200:
                    record.say(f"{daemon.name} answered {result} with the kept key")
                if key == DROPPED and any(request == got for r in replicas for _, got, _ in r.arrivals):
                    late.append((sent - dropped, daemon.name))
        await asyncio.sleep(0.5)
    for daemon in daemons:
        if not daemon.is_running():
            raise s3.CannotRun(f"{daemon.name} ended by itself")
    record.say(f"{len(late)} requests with the dropped key have run")
    if not late:
        return []
    names = sorted({name for _, name in late})
    return [
        f"{len(late)} requests with the dropped key ran, the last sent {late[-1][0]:.1f} s after the ack,"
        f" from {', '.join(names)}"
    ]


s3.run_case(case, HERE)
