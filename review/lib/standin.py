"""Stand-ins for the store, the servers and the clients, and daemons as separate processes.

Everything runs on loopback addresses and the real clock. The platform's names come from
review/NAMES.md. A stand-in does what the users' pages say of it and nothing else.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEAT_S = 1.2

# The figures of the two small deployments, which are the same for both.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "revert_slack_ms": 250, "outer_bound_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 198,
    "recovery_s": 12, "pass_ms": 120, "stall_ms": 2500,
}


def read_names():
    names = {}
    with open(os.path.join(ROOT, "review", "NAMES.md"), encoding="utf-8") as file:
        for line in file:
            match = re.match(r"\| (\w+) \| (\S+) \|$", line.strip())
            if match:
                names[match[1]] = match[2]
    return names


N = read_names()


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """The lines of record.txt, with seconds since the start of the case."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.lines = []
        self.path = os.path.join(folder, "record.txt")

    def now(self):
        return time.monotonic() - self.started

    def note(self, *words, at=None):
        self.lines.append((self.now() if at is None else at, " ".join(str(word) for word in words)))

    def write(self):
        self.lines.sort(key=lambda line: line[0])
        with open(self.path, "w", encoding="utf-8") as file:
            for at, text in self.lines:
                file.write(f"{at:9.3f} s  {text}\n")


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name):
        return self.headers.get(name.lower())


async def read_message(reader, is_answer=False):
    """Reads a whole HTTP message. Returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    message = Message(lines[0], headers, b"")
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif "content-length" in headers:
        message.body = await reader.readexactly(int(headers["content-length"]))
    elif is_answer:
        message.body = await reader.read()
    return message


def answer(status, headers=None, body=b""):
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP server on a free port of a loopback address."""

    ip = "127.0.0.1"

    async def listen(self):
        self.tasks = set()
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"
        return self

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                if not await self.handle(message, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def stop(self):
        """Ends as a process does: refuses new connections and breaks off the open ones."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()


class Store(Server):
    """The platform's store: a log with keyed topics and one group."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.members = {}
        self.generation = 0
        self.leader = None
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        """Appends a record; a value of None drops the key. Returns when it was accepted."""
        data = None if value is None else (
            value if isinstance(value, bytes) else json.dumps(value).encode())
        self.topics.setdefault(topic, []).append((key, data))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.record.now()

    async def handle(self, message, reader, writer):
        await asyncio.sleep(0.004)
        method, target, _ = message.first.split(" ", 2)
        path, _, query = target.partition("?")
        options = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        reply = await self.reply(path, options, message)
        writer.write(reply)
        await writer.drain()
        return True

    async def reply(self, path, options, message):
        records = self.topics.setdefault(options.get("topic", ""), [])
        if path == N["p_newest"]:
            return self.newest(records)
        if path == N["p_read"]:
            return await self.read(options)
        if path == N["p_append"]:
            self.append(options["topic"], message.body)
            return json_answer({"offset": len(records) - 1, "end_offset": len(records)})
        if path == N["p_join"]:
            return self.join(json.loads(message.body))
        if path == N["p_leave"]:
            self.members.pop(json.loads(message.body)["member"], None)
            self.choose_leader()
            return json_answer({})
        return answer(404)

    def newest(self, records):
        newest = {}
        for offset, (key, value) in enumerate(records):
            newest.pop(key, None)
            if value is not None:
                newest[key] = (value, offset)
        items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (value, offset) in newest.items()]
        return json_answer({"items": items, "has_more": False, "end_offset": len(records)})

    async def read(self, options):
        topic, source = options["topic"], int(options["source"])
        until = time.monotonic() + int(options.get("wait_ms", 0)) / 1000
        while len(self.topics[topic]) <= source:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        records = self.topics[topic]
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[source:source + 1024]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return answer(200, {}, body)

    def append(self, topic, body):
        while body:
            size = struct.unpack(">I", body[:4])[0]
            content, body = body[4:4 + size], body[4 + size:]
            key = content[1:1 + content[0]].decode()
            self.put(topic, key, content[1 + content[0]:] or None)

    def join(self, wire):
        member, now = wire["member"], time.monotonic()
        known = member in self.members
        self.members[member] = now + wire["ttl_ms"] / 1000
        gone = [name for name, until in self.members.items() if until < now]
        for name in gone:
            del self.members[name]
        if not known or gone:
            self.generation += 1
            self.choose_leader()
        parts = [[topic, 0, 0] for topic in wire["topics"]] if self.leader == member else []
        return json_answer({"generation": self.generation, "ttl_ms": wire["ttl_ms"], "parts": parts})

    def choose_leader(self):
        if self.leader not in self.members:
            self.leader = min(self.members, default=None)
            self.generation += 1


def json_answer(value):
    return answer(200, {"Content-Type": "application/json"}, json.dumps(value).encode())


class Replica(Server):
    """A server of a plain service. It writes its entry every status report interval."""

    def __init__(self, store, name, service, zone):
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.work_for = lambda request: 0.02
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self.arrivals = []
        self.running = True
        self.beat_task = None

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 6, "state": self.state, N["f_cold"]: 0,
                "seq": self.seq, "born": self.born}

    def beat(self):
        """Writes the entry. Returns when the store accepted it."""
        self.seq += 1
        return self.store.put(N["t_servers"], self.name, self.entry())

    def start_beats(self):
        async def beats():
            while self.running:
                self.beat()
                await asyncio.sleep(BEAT_S)
        self.beat_task = asyncio.create_task(beats())

    def stop_beats(self):
        self.beat_task.cancel()

    async def handle(self, message, reader, writer):
        request = message.get(N["h_request_id"])
        if message.first.startswith("GET /health"):
            writer.write(answer(200, {N["h_instance"]: self.name}))
            return True
        expected = message.get(N["h_expect"])
        if expected and expected != self.name:
            writer.write(answer(421, {N["h_instance"]: self.name}))
            return True
        now = self.store.record.now()
        self.arrivals.append((now, request))
        self.store.record.note("reaches", self.name, request, at=now)
        await asyncio.sleep(self.work_for(request))
        self.runs.append((now, request, message.get(N["h_key"])))
        writer.write(answer(200, {N["h_request_id"]: request, N["h_stamp"]: f"s.{self.name}"},
                            f"{self.name} ran {request}".encode()))
        await writer.drain()
        return True


class Engine(Replica):
    """A model engine that can hold the whole model. Its streams have `events` events."""

    layers = 80

    def __init__(self, store, name, service, zone, events=40, pass_s=0.02):
        super().__init__(store, name, service, zone)
        self.events, self.pass_s = events, pass_s
        self.held = None
        self.orders = 0
        self.fence = 0
        self.opened = 0
        # Called with the number of the stream; tells at which event it is spoiled, if any.
        self.spoils_at = lambda number, after: None

    def entry(self):
        entry = super().entry()
        entry.update({"slots": 192, N["f_kind"]: "big", "stage": "both",
                      "models": [{"name": "m", "version": 1, "adapters": []}]})
        if self.held:
            entry["layers"] = [{"source": self.held[0], "target": self.held[1], "version": 1}]
        return entry

    async def handle(self, message, reader, writer):
        if message.first.startswith("GET /report"):
            report = {"stage": "both", "models": [], "busy": False, "seq": self.orders,
                      "born": self.born, "waiting": 0, "running": 0, "kv_used": 0,
                      "kv_total": 8000000, "handles": 0, "pace": 1.0}
            if self.held:
                report["layers"] = [{"source": self.held[0], "target": self.held[1], "version": 1}]
            writer.write(json_answer(report))
            return True
        expected = message.get(N["h_expect"])
        if expected and expected != self.name:
            writer.write(answer(421, {N["h_instance"]: self.name}))
            return True
        if message.first.startswith("POST /order"):
            writer.write(answer(self.order(json.loads(message.body))))
            return True
        return await self.stream(message, writer)

    def order(self, wire):
        if wire["operation"] != "place":
            return 400
        if wire.get("fence", 0) < self.fence:
            return 412
        if wire.get("precondition", self.orders) != self.orders:
            return 409
        self.fence = wire.get("fence", 0)
        self.orders += 1
        self.held = (wire["source"], wire["target"])
        self.beat()
        return 202

    async def stream(self, message, writer):
        request = message.get(N["h_request_id"])
        chain = message.get(N["h_chain"]) or ""
        if not self.held or (chain and chain != f"{self.address}=0-{self.layers}"):
            writer.write(answer(421, {N["h_instance"]: self.name}))
            return True
        after = int(message.get(N["h_last_event"]) or 0)
        self.opened += 1
        spoiled = self.spoils_at(self.opened, after)
        note = f"runs at {self.name} {request} after event {after}"
        self.store.record.note(note + (f", spoils event {spoiled}" if spoiled else ""))
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                f"{N['h_request_id']}: {request}", f"{N['h_stamp']}: s.{self.name}"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        # A pass makes `stride` = 2 tokens for each request, here an event each.
        for first in range(after + 1, self.events + 1, 2):
            await asyncio.sleep(self.pass_s)
            chunk = b""
            for number in range(first, min(first + 2, self.events + 1)):
                event = event_bytes(number)
                chunk += spoil(event) if number == spoiled else event
            writer.write(f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def event_bytes(number):
    return f"id: {number}\ndata: piece {number} of the answer\n\n".encode()


def spoil(event):
    """The event with its first bytes damaged."""
    return b"\x13\x7f\x02#" + event[4:]


class Proxy:
    """Passes connections on to an address. It can reset them or let the open ones go silent."""

    ip = "127.0.0.1"

    def __init__(self, target):
        self.target = target
        self.open = []

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = f"{self.ip}:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def serve(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        up_reader, up_writer = await asyncio.open_connection(host, int(port))
        state = {"silent": False, "writers": (writer, up_writer)}
        self.open.append(state)

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    if not state["silent"]:
                        sink.write(data)
                        await sink.drain()
            except (ConnectionError, OSError):
                pass
            if not state["silent"]:
                sink.close()
        await asyncio.gather(pump(reader, up_writer), pump(up_reader, writer))
        self.open.remove(state)

    def silence_open(self):
        """From now on nothing passes on the open connections. New ones work."""
        for state in self.open:
            state["silent"] = True
        return len(self.open)

    def reset_open(self):
        count = len(self.open)
        for state in list(self.open):
            for writer in state["writers"]:
                connection = writer.get_extra_info("socket")
                if connection is not None:
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
        return count


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Daemon:
    """The project's daemon, started as the deploy file says."""

    def __init__(self, case, name, zone, ip, store_address, inner_port, seeds):
        self.case, self.name = case, name
        self.front = f"{ip}:{free_port(ip)}"
        self.ready = f"{ip}:{free_port(ip)}"
        self.control = f"{ip}:{free_port(ip)}"
        bounds = "\n".join(f"{key} = {value}" for key, value in BOUNDS.items())
        self.settings = os.path.join(case.folder, f"{name}.toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f"""
node_name = "{name}"
role = "forwarder"
machine_class = "front"
serves = ["front","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "r"
{N['s_ports']} = [{inner_port},{inner_port + 15}]
seeds = {json.dumps(seeds)}
initial_start = true
beat_interval_ms = 1200
[listen]
front = "{self.front}"
ready_addr = "{self.ready}"
control_addr = "{self.control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4200
[bounds]
strict_revoke = false
fencing_required = true
{bounds}
[{N['s_store']}]
address = "{store_address}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 8
append_ms = 4.0
keep_s = 300
ttl_min_ms = 1000
""")
        self.process = None

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            command = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE)[1].split()
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun(f"{command[0]} is not built")
        log = open(os.path.join(self.case.folder, f"{self.name}.out"), "ab")
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env={**kept, N["settings_variable"]: self.settings},
            stdout=log, stderr=log)
        self.case.daemons.append(self)
        return self

    async def wait_ready(self, limit=20):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            reply = await send(self.ready, "GET", "/readiness", {}, limit=1)
            if reply.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready")

    def log_lines(self):
        with open(os.path.join(self.case.folder, f"{self.name}.out"), encoding="utf-8") as file:
            return file.read().splitlines()


class Reply:
    def __init__(self, status=None, headers=None, body=b"", complete=False):
        self.status, self.headers, self.body, self.complete = status, headers or {}, body, complete


async def send(address, method, path, headers, body=b"", limit=5.0):
    """Sends a request on a new connection and reads its answer, as far as it comes."""
    host, port = address.rsplit(":", 1)
    reply = Reply()

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            reply.status = int(head[0].split(" ")[1])
            reply.headers = {line.split(":", 1)[0].strip().lower(): line.split(":", 1)[1].strip()
                             for line in head[1:] if ":" in line}
            if reply.headers.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                    reply.body += await reader.readexactly(size)
                    await reader.readexactly(2)
                    if size == 0:
                        break
            else:
                size = int(reply.headers.get("content-length", 0))
                while len(reply.body) < size:
                    data = await reader.read(min(65536, size - len(reply.body)))
                    if not data:
                        raise ConnectionError("the answer ended early")
                    reply.body += data
            reply.complete = True
        finally:
            writer.close()
    try:
        await asyncio.wait_for(exchange(), limit)
    except (OSError, ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError,
            ValueError, IndexError):
        pass
    return reply


class Case:
    """One play of a case: a temporary folder, a record, and the processes that it started."""

    def __init__(self, script):
        self.out = os.path.dirname(os.path.abspath(script))
        self.record = Record(self.out)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.daemons = []
        self.count = 0

    def request_id(self):
        self.count += 1
        return f"{self.count:016x}"

    async def start_daemons(self, store_address, zones):
        """One daemon for each (name, zone), each on a loopback address of its own.
        `store_address` gives the store's address for a name."""
        inner = free_port("127.0.0.1")
        ips = [f"127.0.0.{index + 2}" for index in range(len(zones))]
        seeds = [f"{ip}:{inner}" for ip in ips[:3]]
        daemons = [Daemon(self, name, zone, ip, store_address(name), inner, seeds)
                   for (name, zone), ip in zip(zones, ips)]
        for daemon in daemons:
            await daemon.start()
        for daemon in daemons:
            await daemon.wait_ready()
        return daemons

    async def end(self):
        for daemon in self.daemons:
            if daemon.process.returncode is None:
                daemon.process.send_signal(signal.SIGKILL)
            await daemon.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(script, body):
    """Plays a case: `body` returns the breaches of the rule as lines. Exits 0, 1 or 2."""
    case = Case(script)

    async def whole():
        try:
            return await asyncio.wait_for(body(case), 110)
        finally:
            await case.end()
    try:
        breaches = asyncio.run(whole())
    except Exception as error:  # Whatever went wrong here says nothing about the rule.
        case.record.note("could not run:", repr(error))
        case.record.write()
        finish(2, ["could not run: " + repr(error)])
    for line in breaches:
        case.record.note("BREACH", line)
    case.record.note("the rule", "was broken" if breaches else "held")
    case.record.write()
    first = f"{len(breaches)} breaches, with{'' if TROUBLE else 'out'} trouble"
    finish(1 if breaches else 0, [first] + ["  " + line for line in breaches[:5]])


def finish(code, lines):
    """Prints and ends at once, without a word about connections that are still open."""
    try:
        print("\n".join(lines), flush=True)
    except OSError:
        pass
    os._exit(code)


def route(name, kind, service, **more):
    spec = {"name": name, "host": "one.example", "path_prefix": f"/{name}/", N["f_kind"]: kind,
            "timeout_ms": 20000, "target_latency_ms": 500, "priority": 1, "service": service,
            "max_attempts": 2, "auth_exempt": False}
    if kind == "streaming":
        spec.update({"sticky": True, "can_resume": True, "gap_target_ms": 200})
    spec.update(more)
    return spec


def configuration(version, keys=("k1",), routes=None):
    return {
        "version": version,
        "routes": routes or [
            route("stream", "streaming", "engines"),
            route("once", "unsafe", "plain", timeout_ms=4000, target_latency_ms=100,
                  max_attempts=1),
            route("again", "safe", "plain", timeout_ms=4000, target_latency_ms=100),
        ],
        "services": [
            {"name": "plain", "health_path": "/health", "max_connections": 100},
            {"name": "engines", "health_path": "/health", "max_connections": 1048, "engine": {
                "slots": 192, "kv_capacity": 100000, "kv_token_bytes": 459000, "stride": 2,
                "models": [{"name": "m", "load_s": 0.1}], "step_ms": 0.85, "per_seq_ms": 0.003,
                "context_per_k": 0.004, "read_per_s": 252000.0, "loads_at_once": 6,
                "usual": {"prompt": 772, "answer": 154}, "layers": 80, "layer_mb": 1750.0,
                "kinds": [{"name": "big", "size_mb": 200000.0, "pace": 3.1, "read_factor": 3.2}],
            }},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "w1", "api_keys": list(keys)}],
    }


def caller_headers(request, key="k1", left_ms=4000, tokens=None):
    headers = {"Host": "one.example", N["h_request_id"]: request, N["h_time_left"]: left_ms,
               N["h_key"]: key}
    if tokens:
        headers[N["h_tokens"]] = tokens
        headers[N["h_model"]] = "m"
        headers[N["h_prefix"]] = f"5c1e07a2:40,{request}:60"
    return headers
