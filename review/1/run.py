"""A piece of a stream is lost when the next event of the same read is spoiled."""

import asyncio
import os
import re
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standin import *

EVENTS = 40
STREAMS = 480
# The dose that the site file names: 0.35 of the servers spoil 0.02 of their answers. Here one of
# three engines spoils every 50th of the answers that it makes from their beginning.
SPOILED_ONE_IN = 50
SPOILED_EVENT = 22


async def body(case):
    record = case.record
    store = await Store(record).listen()
    store.put(N["t_operator"], "config", configuration(1))
    engines = [await Engine(store, f"i-engine{index}", "engines", "a", EVENTS).listen()
               for index in (1, 2, 3)]
    if TROUBLE:
        engines[0].spoils_at = (
            lambda number, after: SPOILED_EVENT if number % SPOILED_ONE_IN == 0 and after == 0 else None)
    for engine in engines:
        engine.start_beats()
    daemons = await case.start_daemons(lambda name: store.address,
                                       [("front-a-1", "a"), ("front-a-2", "a")])
    for _ in range(200):
        if all(engine.held == (0, 80) for engine in engines):
            break
        await asyncio.sleep(0.1)
    else:
        raise CannotRun("the engines were not ordered to hold the model")
    await asyncio.sleep(1.5)

    breaches, outcomes = [], {}

    async def one(index):
        request = case.request_id()
        record.note("sent", request, "to", daemons[index % 2].name)
        reply = await send(daemons[index % 2].front, "POST", "/stream/x",
                           caller_headers(request, left_ms=20000, tokens="100,80"), b"body", 25)
        ids = [int(number) for number in re.findall(rb"(?m)^id: (\d+)$", reply.body)]
        outcome = f"{reply.status} {'complete' if reply.complete else 'broken off'}"
        missing = sorted(set(range(1, EVENTS + 1)) - set(ids))
        whole = b"".join(event_bytes(number) for number in range(1, EVENTS + 1))
        record.note("answered", request, outcome, f"{len(ids)} events, missing {missing}")
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
        # An answer that was broken off is not complete; the client knows that it is not whole.
        gap = ids != list(range(1, len(ids) + 1))
        if reply.status == 200 and (gap or (reply.complete and reply.body != whole)):
            breaches.append(f"{request}: {outcome}, missing pieces {missing}")

    tasks = []
    for index in range(STREAMS):
        tasks.append(asyncio.create_task(one(index)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    record.note("outcomes", outcomes)
    if outcomes.get("200 complete", 0) < STREAMS * 0.9:
        raise CannotRun(f"too few streams were served: {outcomes}")
    return breaches


play(__file__, body)
