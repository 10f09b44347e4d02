"""Stand-ins for the third review: the store, plain replicas, callers, and the daemons' processes.

Everything but the daemons runs in one event loop, so that one clock dates all that is recorded. The names
of the platform are read from NAMES-3.md.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
# The longest time that a case may take.
TIME_LIMIT_S = 110.0


def read_names():
    names = {}
    with open(os.path.join(HERE, "..", "NAMES-3.md")) as lines:
        for line in lines:
            if line.startswith("    ") and " = " in line:
                name, value = line.strip().split(" = ", 1)
                names[name] = value
    return names


N = read_names()
H = {name: value.lower() for name, value in N.items()}


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what happened to record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(f"{self.now():9.3f} {text}", flush=True)


async def read_head(reader):
    """Reads the head of a message: the first line and its headers. Returns None at a clean end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def answer(status, headers=None, body=b"", reason="-"):
    head = [f"HTTP/1.1 {status} {reason}"]
    fields = {"Content-Length": str(len(body)), **(headers or {})}
    head += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


class HttpServer:
    """Answers HTTP/1.1 requests on kept connections."""

    def __init__(self):
        self.server = None
        self.writers = set()

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 22)
        self.host, self.port = self.server.sockets[0].getsockname()[:2]

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                if not await self.handle(method, target, headers, body, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Ends as a process does that is killed: nothing listens, and open connections are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            linger = struct.pack("ii", 1, 0)
            raw = writer.get_extra_info("socket")
            if raw is not None:
                try:
                    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                except OSError:
                    pass
            writer.transport.abort()


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}

    def copy(self):
        other = Partition()
        other.records = list(self.records)
        other.newest = dict(self.newest)
        return other

    def append(self, contents):
        offset = len(self.records)
        for content in contents:
            size = content[0]
            key, value = content[1 : 1 + size].decode(), content[1 + size :]
            if value:
                self.newest[key] = (len(self.records), value)
            else:
                self.newest.pop(key, None)
            self.records.append(content)
        return offset


def keyed(key, value):
    raw = key.encode()
    return bytes([len(raw)]) + raw + value


class Store(HttpServer):
    """The platform's store: topics with keys, the newest record of each, and one group."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.parts = {}
        self.members = {}
        self.generation = 0
        self.era = 1
        self.away = False
        self.changed = asyncio.Event()
        self.copies = []
        # Every answered call: time, call.
        self.calls = []

    def part(self, topic):
        return self.parts.setdefault(topic, Partition())

    def write(self, topic, key, value):
        """A write of the operator or of an engine. Returns the time of its ack, or None while the store
        is away."""
        if self.away:
            return None
        self.part(topic).append([keyed(key, value)])
        self.wake()
        return self.record.now()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def keep_copies(self):
        """Takes a copy of everything each 100 ms."""
        while True:
            if not self.away:
                parts = {topic: part.copy() for topic, part in self.parts.items()}
                copy = (self.record.now(), parts, dict(self.members), self.generation)
                self.copies.append(copy)
                self.copies = self.copies[-300:]
            await asyncio.sleep(0.1)

    async def go_away(self, seconds, age, silent=False):
        """The drill: away for some time, then back from a copy that was `age` seconds old. While it is
        away, it refuses connections or, if `silent`, answers nothing; channels that were open then stay
        silent."""
        gone = self.record.now()
        host, port = self.host, self.port
        self.away = True
        if not silent:
            self.stop()
        self.wake()
        await asyncio.sleep(seconds)
        copies = [copy for copy in self.copies if copy[0] <= gone - age]
        _, self.parts, self.members, self.generation = copies[-1]
        self.era += 1
        if not silent:
            await self.start(host, port)
        self.away = False
        return copies[-1][0]

    def assigned(self, member):
        now = self.record.now()
        live = {name: until for name, until in self.members.items() if until > now}
        if set(live) != set(self.members):
            self.generation += 1
        self.members = live
        names = sorted(live)
        if member not in names:
            return []
        return [part for part in range(8) if names[part % len(names)] == member]

    async def handle(self, method, target, headers, body, reader, writer):
        split = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(split.query).items()}
        era = self.era
        status, payload, kind = await self.call(split.path, query, body)
        while self.away or self.era != era:
            # The answer is lost, and the channel returns nothing further.
            await asyncio.sleep(0.5)
        self.calls.append((self.record.now(), target))
        fields = {"Content-Type": kind, N["era"]: str(self.era)}
        writer.write(answer(status, fields, payload))
        return True

    async def call(self, path, query, body):
        await asyncio.sleep(0.004)

        def reply(status, value):
            return status, json.dumps(value).encode(), "application/json"

        if path == N["call_read"]:
            return await self.read(query)
        if path == N["call_newest"]:
            part = self.part(query["topic"])
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(part.newest.items())
                if key > query.get("after", "")
            ]
            page, rest = items[:500], items[500:]
            return reply(
                200, {"items": page, "has_more": bool(rest), "end_offset": len(part.records)}
            )
        if path == N["call_append"]:
            if query["topic"] in (N["topic_operator"], N["topic_engines"]):
                return reply(403, {})
            contents = []
            while body:
                size = struct.unpack(">I", body[:4])[0]
                contents.append(body[4 : 4 + size])
                body = body[4 + size :]
            part = self.part(query["topic"])
            offset = part.append(contents)
            self.wake()
            return reply(200, {"offset": offset, "end_offset": len(part.records)})
        if path == N["call_join"]:
            call = json.loads(body)
            member = call["member"]
            if member not in self.members:
                self.generation += 1
            self.members[member] = self.record.now() + call["ttl_ms"] / 1e3
            parts = [[call["topics"][0], part, 0] for part in self.assigned(member)]
            ttl = call["ttl_ms"]
            return reply(200, {"generation": self.generation, "ttl_ms": ttl, "parts": parts})
        if path == N["call_leave"]:
            if self.members.pop(json.loads(body)["member"], None) is not None:
                self.generation += 1
            return reply(200, {})
        return reply(404, {})

    async def read(self, query):
        source = int(query["source"])
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1e3
        while not self.away:
            part = self.part(query["topic"])
            if source > len(part.records):
                body = json.dumps({"first_offset": 0}).encode()
                return 410, body, "application/json"
            left = deadline - time.monotonic()
            if source < len(part.records) or left <= 0:
                break
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        part = self.part(query["topic"])
        body = struct.pack(">QQ", len(part.records), 0)
        for content in part.records[source : source + 1024]:
            body += struct.pack(">I", len(content)) + content
        return 200, body, "application/octet-stream"


class Replica(HttpServer):
    """An engine of a plain service."""

    def __init__(self, record, store, name, service, zone, beat_s=1.2, work_s=0.02):
        super().__init__()
        self.record, self.store = record, store
        self.name, self.service, self.zone = name, service, zone
        self.beat_s, self.work_s = beat_s, work_s
        self.born = int(time.time() * 1e3)
        self.sequence = 0
        self.state = "ready"
        self.registers = True
        # Every request that arrived to be run: time, request id, path.
        self.arrivals = []

    def entry(self):
        self.sequence += 1
        value = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            N["cold_left"]: 0,
            "seq": self.sequence,
            "born": self.born,
        }
        return json.dumps(value).encode()

    def register(self):
        if self.registers and self.server is not None:
            return self.store.write(N["topic_engines"], self.name, self.entry())
        return None

    async def beat(self, offset=0.0):
        await asyncio.sleep(offset)
        era = self.store.era
        next_at = time.monotonic()
        while True:
            if not self.store.away and (time.monotonic() >= next_at or self.store.era != era):
                # What was written and lost is written again.
                era = self.store.era
                self.register()
                next_at = time.monotonic() + self.beat_s
            await asyncio.sleep(0.02)

    def remove_entry(self):
        """The entry goes without having said that the engine drains. Returns the time of the ack."""
        self.registers = False
        acked = self.store.write(N["topic_engines"], self.name, b"")
        if acked is None:
            raise CannotRun("the store is away as an engine leaves")
        return acked

    async def handle(self, method, target, headers, body, reader, writer):
        expected = headers.get(H["expect_instance"])
        if target == "/health":
            writer.write(answer(200, {N["instance_id"]: self.name}))
            return True
        request = headers.get(H["request_id"], "")
        if expected not in (None, self.name):
            writer.write(answer(421, {N["instance_id"]: self.name, N["request_id"]: request}))
            return True
        self.arrivals.append((self.record.now(), request, target))
        self.record.write(f"engine {self.name} runs {request} {method} {target}")
        return await self.run(request, target, body, writer)

    async def run(self, request, target, body, writer):
        await asyncio.sleep(self.work_s)
        fields = {N["request_id"]: request, N["stamp"]: f"{self.name}.{request}"}
        writer.write(answer(200, fields, f"answer of {self.name} to {request}".encode()))
        return True


def free_network():
    """An address block of the loopback network that this process alone uses, and free ports on it."""
    pid = os.getpid()
    block = f"127.{64 + pid % 128}.{pid // 128 % 250}"
    ports = []
    probes = []
    for _ in range(4):
        probe = socket.socket()
        probe.bind((f"{block}.1", 0))
        probes.append(probe)
        ports.append(probe.getsockname()[1])
    for probe in probes:
        probe.close()
    return block, ports


class Daemon:
    """A process of the deploy file, with its own loopback address and settings file."""

    def __init__(self, record, folder, name, zone, ip, ports, seeds, store, options=None):
        self.record, self.name, self.zone, self.ip = record, name, zone, ip
        self.front, self.ready, self.control, self.inner = ports
        self.process = None
        options = options or {}
        self.path = os.path.join(folder, f"{name}.toml")
        self.log_path = os.path.join(folder, f"{name}.log")
        seeds = ",".join(f'"{seed}:{self.control}"' for seed in seeds)
        with open(self.path, "w") as out:
            out.write(
                f"""node_name = "{name}"
role = "forwarder"
machine_class = "front"
serves = ["front","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "region"
{N["settings_ports"]} = [{self.inner},{self.inner}]
seeds = [{seeds}]
initial_start = true
loss_counted = false
discovery = "platform"
entry = "vip"
beat_interval_ms = 1200
[listen]
front = "{ip}:{self.front}"
ready_addr = "{ip}:{self.ready}"
control_addr = "{ip}:{self.control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
revert_slack_ms = 250
outer_bound_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra = 198
recovery_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 2500
fencing_required = true
[{N["settings_store"]}]
address = "{store.address}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 8
append_ms = 4.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
"""
            )

    def start(self):
        program = os.path.join(ROOT, "target", "release", "banyan-platform")
        if not os.path.exists(program):
            raise CannotRun("build the program of the deploy file first")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env[N["settings_variable"]] = self.path
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            [program], cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()

    def send_signal(self, number):
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        result = await ask(self.ip, self.ready, "GET", "/readiness", {}, b"", 1.0)
        return result.status == 200

    async def wait_until_ready(self, limit_s=10.0):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if not self.is_running():
                raise CannotRun(f"{self.name} ended by itself")
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} was not ready in {limit_s} s")


class Result:
    """What a caller saw: the status, or None with the reason."""

    def __init__(self, status=None, headers=None, body=b"", reason=""):
        self.status, self.headers, self.body, self.reason = status, headers or {}, body, reason

    def __str__(self):
        return str(self.status) if self.status else f"no answer ({self.reason})"


async def ask(host, port, method, target, headers, body, limit_s):
    """Sends one request on a new connection, and reads the whole answer."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 22)
        fields = {"Host": "front.example", "Content-Length": str(len(body)), **headers}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return Result(reason="closed")
        line, answered = head
        return Result(int(line.split(" ")[1]), answered, await read_body(reader, answered))

    try:
        return await asyncio.wait_for(exchange(), limit_s)
    except asyncio.TimeoutError:
        return Result(reason="time limit")
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return Result(reason=type(error).__name__)
    finally:
        if writer is not None:
            writer.close()


class Caller:
    """Sends requests to daemons and records what came back."""

    def __init__(self, record):
        self.record = record
        self.count = 0
        # Every attempt: time sent, request id, daemon, result.
        self.attempts = []

    async def send(self, daemon, method, target, body=b"", limit_ms=600, headers=None):
        self.count += 1
        request = f"{self.count:08x}"
        fields = {N["request_id"]: request, N["time_left"]: str(limit_ms), **(headers or {})}
        sent = self.record.now()
        self.record.write(f"caller sends {request} {method} {target} to {daemon.name}")
        limit_s = limit_ms / 1e3 + 0.5
        result = await ask(daemon.ip, daemon.front, method, target, fields, body, limit_s)
        self.record.write(f"caller got {result} for {request} from {daemon.name}")
        self.attempts.append((sent, request, daemon, result))
        return request, result


def route(name, prefix, service, kind, **more):
    return {
        "name": name,
        "host": "front.example",
        "path_prefix": prefix,
        N["field_kind"]: kind,
        "timeout_ms": 600,
        "target_latency_ms": 100,
        "priority": 2,
        "service": service,
        "max_attempts": 2 if kind == "safe" else 1,
        "auth_exempt": False,
        "sticky": False,
        "can_resume": False,
        **more,
    }


def service(name):
    return {"name": name, "health_path": "/health", "max_connections": 49, "protocol": "h1", "tls": False}


def configuration(version, routes, services, tenants=None):
    value = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    if tenants is not None:
        value["tenants"] = tenants
    return json.dumps(value).encode()


async def run_and_end(running, daemons):
    """Runs a case, and ends its processes before the event loop closes."""
    try:
        return await asyncio.wait_for(running, TIME_LIMIT_S)
    finally:
        for daemon in daemons:
            daemon.end()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


def run_case(case, folder):
    """Runs a case: `case(record, workspace, trouble)` returns the breaches. Exits as run.sh must."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    daemons = []
    code = 2
    with tempfile.TemporaryDirectory() as workspace:
        try:
            breaches = asyncio.run(run_and_end(case(record, workspace, daemons, trouble), daemons))
            for breach in breaches:
                record.say(f"BROKEN: {breach}")
            record.say("the rule was broken" if breaches else "the rule held")
            code = 1 if breaches else 0
        except CannotRun as error:
            record.say(f"could not run: {error}")
        except asyncio.TimeoutError:
            record.say("could not run: it took too long")
        finally:
            for daemon in daemons:
                daemon.end()
            logs = os.environ.get("KEEP_LOGS")
            if logs:
                for daemon in daemons:
                    os.makedirs(logs, exist_ok=True)
                    target = os.path.join(logs, f"{daemon.name}.log")
                    with open(daemon.log_path, "rb") as source, open(target, "wb") as out:
                        out.write(source.read())
    sys.exit(code)
