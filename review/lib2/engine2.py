"""One engine as a process: a model engine that holds layers, or a replica of a plain service.

Its only argument is a JSON object: `id`, `port`, `record` (a file to which it appends what it was
sent and what it ran), `born`, `kind` for a model engine, `places` (how many calls a replica
works on or queues; it rejects others), and what it does when a request's path holds
the word `poison`: `crash_after_ms`, counted from its first event, or from the end of its work; with
`head_first` a replica has then sent the head and half of the body of its answer.
"""
import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from standin2 import NAMES, Closed, answer_bytes, now_ms, read_body, read_head  # noqa: E402

OPTIONS = json.loads(sys.argv[1])
LAYERS = 80
state = {"layers": [], "busy": False, "seq": 0, "fence": 0, "running": 0}
record_file = os.open(OPTIONS["record"], os.O_WRONLY | os.O_APPEND | os.O_CREAT)


def record(what, **more):
    row = {"t": round(now_ms(), 1), "engine": OPTIONS["id"], "what": what, **more}
    os.write(record_file, (json.dumps(row) + "\n").encode())


def report():
    return {"stage": "both", "models": [{"name": "m0", "version": 1, "adapters": []}],
            "busy": state["busy"], "seq": state["seq"], "waiting": 0, "running": state["running"],
            "kv_used": 100 * state["running"], "kv_total": 8000000, "handles": 0,
            "layers": state["layers"], "born": OPTIONS["born"], "pace": 1.0}


async def load(source, target):
    await asyncio.sleep(OPTIONS.get("load_s", 0.5))
    state["layers"] = [{"source": source, "target": target, "version": 1}]
    state["busy"] = False


def order(call):
    if call.get("fence", 0) < state["fence"]:
        return 412
    state["fence"] = max(state["fence"], call.get("fence", 0))
    if call["operation"] != "place":
        return 404
    held = [(row["source"], row["target"]) for row in state["layers"]]
    if held == [(call["source"], call["target"])]:
        return 200
    if state["busy"] or call.get("precondition", state["seq"]) != state["seq"]:
        return 409
    state["seq"] += 1
    state["busy"] = True
    asyncio.get_running_loop().create_task(load(call["source"], call["target"]))
    return 202


async def crash_later(delay_ms, request_id):
    await asyncio.sleep(delay_ms / 1e3)
    record("crash", id=request_id)
    os._exit(1)


async def stream(writer, headers, request_id, path):
    """Events of two tokens each, one every `gap_ms`."""
    first = int(headers.get(NAMES["h_last"].lower(), "0")) + 1
    head = (f"HTTP/1.1 200 OK\r\n{NAMES['h_id']}: {request_id}\r\n"
            f"{NAMES['h_stamp']}: s.{OPTIONS['id']}\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n")
    await asyncio.sleep(OPTIONS.get("first_ms", 30) / 1e3)
    record("runs", id=request_id, path=path, first=first)
    if "poison" in path and OPTIONS.get("crash_after_ms") is not None:
        asyncio.get_running_loop().create_task(crash_later(OPTIONS["crash_after_ms"], request_id))
    for number in range(first, OPTIONS.get("events", 40) + 1):
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(head.encode() + b"%x\r\n%s\r\n" % (len(event), event))
        head = ""
        await writer.drain()
        await asyncio.sleep(OPTIONS.get("gap_ms", 40) / 1e3)
    writer.write(head.encode() + b"0\r\n\r\n")
    await writer.drain()


async def serve(reader, writer):
    try:
        while True:
            head = await read_head(reader)
            if head is None:
                return
            line, headers = head
            body = await read_body(reader, headers)
            method, path, _ = line.split(" ")
            if path == "/report":
                writer.write(answer_bytes(200, {"Content-Type": "application/json"},
                                          json.dumps(report()).encode()))
                continue
            expected = headers.get(NAMES["h_expect"].lower())
            if expected is not None and expected != OPTIONS["id"]:
                writer.write(answer_bytes(421, {NAMES["h_instance"]: OPTIONS["id"]}))
                continue
            if path == "/order":
                writer.write(answer_bytes(order(json.loads(body)), {}))
                continue
            if path == "/health":
                writer.write(answer_bytes(200, {NAMES["h_instance"]: OPTIONS["id"]}))
                continue
            request_id = headers.get(NAMES["h_id"].lower(), "")
            record("sent", id=request_id, path=path, method=method, body=body[:64].decode("latin-1"))
            state["running"] += 1
            try:
                await run(writer, headers, request_id, path)
            finally:
                state["running"] -= 1
    except (Closed, ConnectionError, asyncio.CancelledError):
        pass
    finally:
        writer.close()


async def run(writer, headers, request_id, path):
    if OPTIONS.get("kind"):
        chain = headers.get(NAMES["h_path"].lower())
        held = [(row["source"], row["target"]) for row in state["layers"]]
        part = (0, LAYERS)
        if chain:
            first, last = chain.split(",")[0].split("=")[1].split("-")
            part = (int(first), int(last))
        if not any(low <= part[0] and part[1] <= high for low, high in held):
            record("refused", id=request_id, status=421)
            writer.write(answer_bytes(421, {NAMES["h_id"]: request_id}))
            return
        await stream(writer, headers, request_id, path)
        return
    if state["running"] > OPTIONS.get("places", 1000000):
        record("refused", id=request_id, status=503)
        writer.write(answer_bytes(503, {NAMES["h_id"]: request_id, NAMES["h_not_run"]: "1"}))
        return
    record("runs", id=request_id, path=path)
    await asyncio.sleep(OPTIONS.get("work_ms", 15) / 1e3)
    body = (b"answer of " + request_id.encode() + b"\n") * OPTIONS.get("lines", 1)
    answer = answer_bytes(200, {NAMES["h_id"]: request_id, NAMES["h_stamp"]: "s." + OPTIONS["id"]}, body)
    crashes = "poison" in path and OPTIONS.get("crash_after_ms") is not None
    if crashes and OPTIONS.get("head_first"):
        writer.write(answer[:-len(body) // 2])
        await writer.drain()
    if crashes:
        await crash_later(OPTIONS["crash_after_ms"], request_id)
    writer.write(answer)
    await writer.drain()


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", OPTIONS["port"], backlog=256)
    record("started", at=time.time())
    async with server:
        await server.serve_forever()


asyncio.run(main())
