"""A request makes each engine that runs it go dark, as a host does that dies."""

import asyncio
import os
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib3"))

import standin3 as s3  # noqa: E402

ZONES = ["zone-a", "zone-b", "zone-c"]
POISON = "/status/tilt"
# How long an engine is dark: its channels are silent, and its host answers no new ones.
DARK_S = 3.0
# The caller sends the request again this long after its last answer.
AGAIN_S = 2.0
PLAY_S = 45.0
STABLE_S = 3.0
MAX_RETRIES = 3


class DarkReplica(s3.Replica):
    """Goes dark as it begins to run one request."""

    crashes = None
    dark = False

    async def run(self, request, target, body, writer):
        if self.dark or (target == POISON and self.crashes is not None):
            if not self.dark:
                self.crashes.append(self.record.now())
                self.record.write(f"engine {self.name} goes dark under {request}")
                self.go_dark()
            # Nothing is sent on this channel any more, until the process is gone.
            await asyncio.sleep(DARK_S + 1.0)
            return False
        await asyncio.sleep(self.work_s)
        if self.dark:
            await asyncio.sleep(DARK_S + 1.0)
            return False
        fields = {s3.N["request_id"]: request, s3.N["stamp"]: f"{self.name}.{request}"}
        writer.write(s3.answer(200, fields, f"answer of {self.name} to {request}".encode()))
        return True

    async def start(self, host, port=0):
        """Listens on a socket of its own, which outlives the server while the engine is dark."""
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, port))
        self.listener.listen(100)
        self.listener.setblocking(False)
        serving = self.listener.dup()
        self.server = await asyncio.start_server(self.serve, sock=serving, limit=1 << 22)
        self.host, self.port = self.listener.getsockname()[:2]

    def go_dark(self):
        self.dark = True
        self.server.close()
        self.server = None
        # Nobody accepts, and the queue of new channels is full: further ones get no answer.
        self.listener.listen(0)
        self.fillers = []
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self.fillers.append(filler)
        asyncio.create_task(self.return_later())

    async def return_later(self):
        await asyncio.sleep(DARK_S)
        self.stop()
        for filler in [*self.fillers, self.listener]:
            filler.close()
        self.dark = False
        self.born, self.sequence = int(time.time() * 1e3), 0
        await self.start(self.host, self.port)
        self.register()
        self.record.write(f"engine {self.name} is back")


async def case(record, workspace, daemons, trouble):
    block, ports = s3.free_network()
    store = s3.Store(record)
    await store.start(f"{block}.9")
    crashes = []
    replicas = []
    for index, zone in enumerate(ZONES):
        replica = DarkReplica(record, store, f"i-line-{index}", "line", zone)
        replica.crashes = crashes if trouble else None
        await replica.start(f"{block}.{20 + index}")
        replicas.append(replica)
    routes = [
        s3.route("r-status", "/status/", "line", "safe"),
        s3.route("r-start", "/start/", "line", "unsafe"),
    ]
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
            asyncio.create_task(caller.send(daemon, "POST", "/start/line-1", b"start"))
            await asyncio.sleep(0.2)

    presses = [asyncio.create_task(press(daemon)) for daemon in daemons]
    ends = record.now() + PLAY_S
    poison = []
    turn = 0
    while record.now() < ends:
        request, _ = await caller.send(daemons[turn % len(daemons)], "GET", POISON)
        poison.append(request)
        turn += 1
        await asyncio.sleep(AGAIN_S)
    for task in presses:
        task.cancel()
    await asyncio.sleep(1.0)
    for daemon in daemons:
        if not daemon.is_running():
            raise s3.CannotRun(f"{daemon.name} ended by itself")
    results, sound = {}, {}
    for _, request, _, result in caller.attempts:
        counts = results if request in poison else sound
        counts[str(result)] = counts.get(str(result), 0) + 1
    record.say(f"start orders: {sound}")
    record.say(f"the request that crashes engines, sent {len(poison)} times: {results}")
    if not trouble:
        if set(results) != {"200"} or set(sound) != {"200"}:
            raise s3.CannotRun("not all were served without the disruption")
        return []
    if len(crashes) < 3:
        record.say(f"{len(crashes)} crashes")
        return []
    arrivals = sorted(
        at for replica in replicas for at, request, _ in replica.arrivals if request in poison
    )
    late = [at for at in arrivals if at > crashes[2] + STABLE_S]
    record.say(f"{len(crashes)} crashes, {len(late)} arrivals later than {STABLE_S} s after the third")
    if len(late) <= MAX_RETRIES:
        return []
    return [f"{len(late)} retries reached engines later than {STABLE_S} s after the third crash"]


s3.run_case(case, HERE)
