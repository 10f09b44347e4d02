"""Stand-ins for engines that hold layers of a model and write streams of events."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import standin3 as s3  # noqa: E402

N, H = s3.N, s3.H

LAYERS = 8
LOAD_S = 1.0
# The time between two events of a stream.
PAUSE_S = 0.04


class ModelEngine(s3.Replica):
    """An engine that takes orders to hold layers. The first engine of a chain writes the stream."""

    def __init__(self, record, store, name, service, zone, **more):
        super().__init__(record, store, name, service, zone, **more)
        self.layers = []
        self.busy = False
        self.orders = 0
        self.fence = 0
        self.running = 0

    def state_value(self):
        held = [{"source": first, "target": end, "version": 1} for first, end in self.layers]
        models = [{"name": "m", "version": 1, "adapters": []}] if held else []
        return {"stage": "both", "models": models, "layers": held, "born": self.born}

    def entry(self):
        value = json.loads(super().entry())
        value.update(self.state_value())
        value["slots"] = 192
        value[N["field_kind"]] = "card"
        return json.dumps(value).encode()

    async def handle(self, method, target, headers, body, reader, writer):
        if target == "/report":
            value = {
                **self.state_value(),
                "busy": self.busy,
                "seq": self.orders,
                "waiting": 0,
                "running": self.running,
                "kv_used": 0,
                "kv_total": 1000000,
                "handles": 0,
                "pace": 1.0,
            }
            kind = {"Content-Type": "application/json"}
            writer.write(s3.answer(200, kind, json.dumps(value).encode()))
            return True
        if target == "/order":
            status = self.take_order(json.loads(body), headers)
            writer.write(s3.answer(status, {N["instance_id"]: self.name}))
            return True
        self.headers = headers
        return await super().handle(method, target, headers, body, reader, writer)

    def take_order(self, order, headers):
        if headers.get(H["expect_instance"]) not in (None, self.name):
            return 421
        if order["operation"] != "place":
            return 404
        if order.get("fence", self.fence) < self.fence:
            return 412
        self.fence = order.get("fence", self.fence)
        wanted = [(order["source"], order["target"])]
        if self.layers == wanted:
            return 200
        if order.get("precondition", self.orders) != self.orders or self.busy:
            return 409
        self.orders += 1
        self.busy = True
        asyncio.create_task(self.load(wanted, self.born))
        return 202

    async def load(self, wanted, born):
        self.layers = []
        self.register()
        await asyncio.sleep(LOAD_S)
        if self.born != born:
            return
        self.layers = wanted
        self.busy = False
        self.register()
        self.record.write(f"engine {self.name} holds {wanted}")

    def crash(self, down_s):
        """Ends as a process that crashes; it starts again, empty, under the id that it had."""
        host, port = self.host, self.port
        self.stop()
        asyncio.create_task(self.return_later(host, port, down_s))

    async def return_later(self, host, port, down_s):
        await asyncio.sleep(down_s)
        self.born, self.sequence = int(time.time() * 1e3), 0
        self.layers, self.busy, self.orders, self.fence = [], False, 0, 0
        await self.start(host, port)
        self.register()
        self.record.write(f"engine {self.name} is back, empty")

    def holds(self, first, end):
        return any(low <= first and end <= high for low, high in self.layers)

    async def run(self, request, target, body, writer):
        chain = self.headers.get(H["chain"])
        own = chain.split(",")[0].split("=")[1] if chain else f"0-{LAYERS}"
        first, end = (int(number) for number in own.split("-"))
        if not self.holds(first, end):
            self.arrivals.pop()
            fields = {N["instance_id"]: self.name, N["request_id"]: request}
            writer.write(s3.answer(421, fields))
            return True
        after = int(self.headers.get(H["last_event"], 0))
        fields = {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            N["request_id"]: request,
            N["stamp"]: f"{self.name}.{request}",
        }
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
        self.running += 1
        try:
            return await self.write_events(request, target, after, writer)
        finally:
            self.running -= 1

    def events(self, target):
        return 40

    async def write_events(self, request, target, after, writer):
        for number in range(after + 1, self.events(target) + 1):
            await asyncio.sleep(PAUSE_S)
            event = f"id: {number}\ndata: {target} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            if not self.after_event(request, target, number):
                return False
        writer.write(b"0\r\n\r\n")
        return True

    def after_event(self, request, target, number):
        """Called after each event. Returns whether the stream goes on."""
        return True


def model_service(name):
    engine = {
        "slots": 192,
        "kv_capacity": 100000,
        "kv_token_bytes": 400,
        "link_mbps": 480000.0,
        "stride": 1,
        "models": [{"name": "m", "pace": 1.0, "load_s": LOAD_S, "warm_s": 0.0}],
        "step_ms": 5.0,
        "per_seq_ms": 0.003,
        "context_per_k": 0.004,
        "read_per_s": 252000.0,
        "pairs_per_m": 0.129,
        "chunk": 512,
        "report_lag_ms": 100.0,
        "loads_per_s": 0.0,
        "loads_at_once": 6,
        "usual": {"prompt": 100, "answer": 40},
        "layers": LAYERS,
        "layer_mb": 100.0,
        "activation_bytes": 2290,
        "pipe_mbps": 7900.0,
        "kinds": [{"name": "card", "size_mb": 2000.0, "pace": 1.0, "read_factor": 1.0}],
    }
    return {**s3.service(name), "max_connections": 1048, "engine": engine}


def stream_route(name, prefix, service, **more):
    fields = {
        "timeout_ms": 20000,
        "target_latency_ms": 500,
        "priority": 1,
        "max_attempts": 2,
        "sticky": True,
        "can_resume": True,
        "gap_target_ms": 200,
        **more,
    }
    return s3.route(name, prefix, service, "streaming", **fields)


def stream_headers():
    return {N["model"]: "m", N["token_counts"]: "100,80", N["prompt_prefix"]: "5c1e07a2:100"}
