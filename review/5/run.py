"""A reset of one machine's channels makes the machines that follow it keep servers that are gone."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standin import *

DRAIN_S = BOUNDS["drain_ms"] / 1000
# How long the server that leaves without a report goes on serving after its entry is gone.
SERVES_ON_S = 6.0


async def body(case):
    record = case.record
    store = await Store(record).listen()
    store.put(N["t_operator"], "config", configuration(1))
    replicas = [await Replica(store, f"i-plain{index}", "plain", "a").listen() for index in (1, 2)]
    for replica in replicas:
        # One request in three takes 80 ms, below the objective of 100 ms, the others 20 ms. After
        # 60 ms without an answer the daemon sends a safe request to a second server too.
        replica.work_for = lambda request: 0.08 if int(request, 16) % 3 == 0 else 0.02
        replica.start_beats()
    leaver = replicas[1]
    # Only the machine whose channels are reset has a proxy before the store.
    proxy = await Proxy(store.address).listen()
    daemons = await case.start_daemons(
        lambda name: proxy.address if name == "front-a-1" else store.address,
        [("front-a-1", "a"), ("front-a-2", "a"), ("front-a-3", "a"), ("front-b-1", "b"),
         ("front-b-2", "b"), ("front-c-1", "c"), ("front-c-2", "c")])
    # The two others of its zone follow the first machine, whose name comes before theirs.
    calm = daemons[1:3]
    await asyncio.sleep(4)

    sending = True

    async def one(daemon):
        request = case.request_id()
        record.note("sent", request, "to", daemon.name)
        reply = await send(daemon.front, "GET", "/again/x", caller_headers(request))
        record.note("answered", request, reply.status)
        return reply.status

    async def traffic():
        tasks, index = [], 0
        while sending:
            tasks.append(asyncio.create_task(one(calm[index % 2])))
            index += 1
            await asyncio.sleep(0.025)
        return await asyncio.gather(*tasks)

    flow = asyncio.create_task(traffic())
    await asyncio.sleep(4)
    if TROUBLE:
        record.note(proxy.reset_open(), "channels between front-a-1 and the store are reset")
    await asyncio.sleep(0.1)
    leaver.stop_beats()
    store.put(N["t_servers"], leaver.name, None)
    left_at = record.now()
    record.note("the entry of", leaver.name, "is gone", at=left_at)
    await asyncio.sleep(SERVES_ON_S)
    sending = False
    statuses = await flow
    served = sum(status == 200 for status in statuses)
    record.note("served", served, "of", len(statuses))
    if served < len(statuses) * 0.9:
        raise CannotRun(f"too few requests were served: {served} of {len(statuses)}")
    if not any(left_at - 1 < at < left_at for at, _ in leaver.arrivals):
        raise CannotRun("the server got no request before it left")
    return [f"{request} reaches {leaver.name} {at - left_at:.3f} s after its entry was gone"
            for at, request in leaver.arrivals if at > left_at + DRAIN_S + 0.05]


play(__file__, body)
