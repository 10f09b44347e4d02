"""A status report of before, carried out late by the store, takes a server's leaving back."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standin import *

DRAIN_S = BOUNDS["drain_ms"] / 1000
STABLE_S = BOUNDS["stable_window_ms"] / 1000
# The store loses answers for this long before and after the write of the server that is lost. Each of
# the three servers writes in that time, so one of four writes at least is lost; the site says 0.35.
LOSS_BEFORE_S = 1.3
LOSS_S = 0.3
# The lost write is done this much later; the pages say 1 to 6 s.
LATE_S = 5.9
# The server leaves this long after the lost write, once the store has been stable for its window.
LEAVES_AFTER_S = 3.45
# How long it goes on serving after its report was accepted. Then its process ends.
SERVES_ON_S = 3.55
WORK_S = 0.06


async def body(case):
    record = case.record
    store = await Store(record).listen()
    store.put(N["t_operator"], "config", configuration(1))
    replicas = [await Replica(store, f"i-plain{index}", "plain", zone).listen()
                for index, zone in ((1, "a"), (2, "b"), (3, "c"))]
    for replica in replicas:
        replica.work_for = lambda request: WORK_S
        replica.start_beats()
    leaver = replicas[2]
    daemons = await case.start_daemons(
        lambda name: store.address,
        [("front-a-1", "a"), ("front-b-1", "b"), ("front-c-1", "c")])
    await asyncio.sleep(2)

    sending = True
    lost = []

    async def one(daemon, kind):
        request = case.request_id()
        record.note("sent", request, kind, "to", daemon.name)
        method = "GET" if kind == "again" else "POST"
        reply = await send(daemon.front, method, f"/{kind}/x", caller_headers(request))
        record.note("answered", request, kind, reply.status)
        if kind == "once" and reply.status != 200:
            lost.append(request)
        return reply.status

    async def traffic():
        tasks, index = [], 0
        while sending:
            kind = "once" if index % 2 else "again"
            tasks.append(asyncio.create_task(one(daemons[index % 3], kind)))
            index += 1
            await asyncio.sleep(0.0125)
        return await asyncio.gather(*tasks)

    flow = asyncio.create_task(traffic())
    await asyncio.sleep(2)

    # The disruption: answers of the store are lost, and a write whose answer was lost is done late.
    if TROUBLE:
        record.note("the store begins to lose answers")
    await asyncio.sleep(LOSS_BEFORE_S)
    leaver.stop_beats()
    start = time.monotonic()
    if TROUBLE:
        leaver.seq += 1
        stale = leaver.entry()
        record.note("the report of", leaver.name, "with seq", leaver.seq, "gets no answer")

        async def late():
            await asyncio.sleep(LATE_S)
            store.put(N["t_servers"], leaver.name, stale)
            record.note("the store carries out the report of", leaver.name, "with seq",
                        stale["seq"], "late")
        late_task = asyncio.create_task(late())
        await asyncio.sleep(LOSS_S)
        record.note("the store loses no more answers")
    else:
        leaver.beat()
    # Its next reports are accepted at once.
    for at in (BEAT_S, 2 * BEAT_S):
        await asyncio.sleep(start + at - time.monotonic())
        leaver.beat()
    await asyncio.sleep(start + LEAVES_AFTER_S - time.monotonic())
    assert time.monotonic() - start >= LOSS_S + STABLE_S
    leaver.state = "draining"
    left_at = leaver.beat()
    leaver.start_beats()
    record.note("the store accepted that", leaver.name, "is leaving, seq", leaver.seq, at=left_at)
    await asyncio.sleep(SERVES_ON_S)
    leaver.running = False
    await leaver.stop()
    store.put(N["t_servers"], leaver.name, None)
    record.note(leaver.name, "ends")
    await asyncio.sleep(1)
    sending = False
    statuses = await flow
    record.note(len(lost), "requests that may run once had no good answer:", *lost)
    served = sum(status == 200 for status in statuses)
    record.note("served", served, "of", len(statuses))
    if served < len(statuses) * 0.9:
        raise CannotRun(f"too few requests were served: {served} of {len(statuses)}")
    if not any(at < left_at for at, _ in leaver.arrivals):
        raise CannotRun("the server got no request before it left")
    # 50 ms for the way between the store and this check.
    return [f"{request} reaches {leaver.name} {at - left_at:.3f} s after its leaving was accepted"
            for at, request in leaver.arrivals if at > left_at + DRAIN_S + 0.05]


play(__file__, body)
