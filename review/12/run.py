"""A request crashes each engine that runs it, after the engine has begun its answer."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib3"))

import standin3 as s3  # noqa: E402

ZONES = ["zone-a", "zone-b", "zone-c"]
POISON = "/status/tilt"
# How long an engine is down after a crash.
DOWN_S = 2.0
# The caller sends the request again this long after its last answer.
AGAIN_S = 1.5
PLAY_S = 45.0
STABLE_S = 3.0
MAX_RETRIES = 3


class CrashingReplica(s3.Replica):
    """Crashes under one request, halfway through its answer."""

    crashes = None

    async def run(self, request, target, body, writer):
        if target != POISON or self.crashes is None:
            return await super().run(request, target, body, writer)
        await asyncio.sleep(self.work_s)
        fields = {s3.N["request_id"]: request, s3.N["stamp"]: f"{self.name}.{request}"}
        whole = s3.answer(200, fields, b"x" * 800)
        writer.write(whole[:-400])
        await writer.drain()
        await asyncio.sleep(0.01)
        self.crashes.append(self.record.now())
        self.record.write(f"engine {self.name} crashes under {request}")
        host, port = self.host, self.port
        self.stop()
        asyncio.create_task(self.return_later(host, port))
        return False

    async def return_later(self, host, port):
        await asyncio.sleep(DOWN_S)
        self.born, self.sequence = int(time.time() * 1e3), 0
        await self.start(host, port)
        self.register()
        self.record.write(f"engine {self.name} is back")


async def case(record, workspace, daemons, trouble):
    block, ports = s3.free_network()
    store = s3.Store(record)
    await store.start(f"{block}.9")
    crashes = []
    replicas = []
    for index, zone in enumerate(ZONES):
        replica = CrashingReplica(record, store, f"i-line-{index}", "line", zone)
        replica.crashes = crashes if trouble else None
        await replica.start(f"{block}.{20 + index}")
        replicas.append(replica)
    routes = [s3.route("r-status", "/status/", "line", "safe")]
    store.write(s3.N["topic_operator"], "config", s3.configuration(3, routes, [s3.service("line")]))
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
    # All have been in touch for the stable window.
    await asyncio.sleep(STABLE_S + 1.0)
    caller = s3.Caller(record)

    async def press(daemon):
        while True:
            asyncio.create_task(caller.send(daemon, "GET", "/status/line-1"))
            await asyncio.sleep(0.2)

    presses = [asyncio.create_task(press(daemon)) for daemon in daemons]
    ends = record.now() + PLAY_S
    poison = []
    turn = 0
    while record.now() < ends:
        request, result = await caller.send(daemons[turn % len(daemons)], "GET", POISON)
        poison.append(request)
        turn += 1
        await asyncio.sleep(AGAIN_S)
    for task in presses:
        task.cancel()
    for daemon in daemons:
        if not daemon.is_running():
            raise s3.CannotRun(f"{daemon.name} ended by itself")
    record.say(f"{len(poison)} requests that crash engines were sent, {len(crashes)} crashes")
    arrivals = sorted(
        at for replica in replicas for at, request, _ in replica.arrivals if request in poison
    )
    if not trouble:
        statuses = {str(result) for _, request, _, result in caller.attempts if request in poison}
        record.say(f"without crashes they were answered with {', '.join(sorted(statuses))}")
        return []
    if len(crashes) < 3:
        record.say("fewer than three crashes")
        return []
    late = [at for at in arrivals if at > crashes[2] + STABLE_S]
    record.say(f"{len(late)} arrivals later than {STABLE_S} s after the third crash")
    if len(late) <= MAX_RETRIES:
        return []
    return [f"{len(late)} retries reached engines later than {STABLE_S} s after the third crash"]


s3.run_case(case, HERE)
