"""A trial, no case: resident memory of one daemon under calls, with and without readings of its metrics.

    python3 review/lib2/memory.py [SECONDS] [read]

With `read` the metrics page is read every five seconds. It prints the memory every five seconds.
"""
import asyncio
import os
import re
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from standin2 import *  # noqa: E402,F403

SECONDS = float(sys.argv[1]) if len(sys.argv) > 1 and sys.argv[1] != "client" else 50.0
READ = "read" in sys.argv[2:]
CHANNELS = 8


async def client(port, seconds, name):
    """Sends calls one after another on each of some kept channels; prints how many were answered."""
    end = time.monotonic() + seconds
    answered = 0

    async def channel(number):
        nonlocal answered
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        count = 0
        while time.monotonic() < end:
            count += 1
            headers = request_headers(f"{name}-{number}-{count}", 4000)
            fields = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
            writer.write(f"GET /g/x HTTP/1.1\r\nHost: one.example\r\n{fields}\r\n".encode())
            head = await read_head(reader)
            if head is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                continue
            await reader.readexactly(int(head[1].get("content-length", "0")))
            answered += 1

    await asyncio.gather(*[channel(number) for number in range(CHANNELS)])
    print(answered)


def resident_kb(daemon):
    with open(f"/proc/{daemon.process.pid}/status", encoding="utf-8") as file:
        return int(re.search(r"VmRSS:\s+(\d+)", file.read())[1])


async def main(folder):
    store = Store()
    await store.start()
    routes = [route("g", "safe", "diary", timeout_ms=4000, target_latency_ms=2000)]
    store.put(NAMES["t_op"], "config", configuration(1, routes, [plain_service("diary")]))
    record = os.path.join(folder, "engines.jsonl")
    engines = [EngineProcess("diary", "a", port, store, record, {"slots": 100, "work_ms": 0})
               for port in free_ports(3)]
    daemon = Daemon("front-a-1", "a", store.port, folder)
    with open(daemon.settings, encoding="utf-8") as file:
        metrics = int(re.search(r'control_addr = "127.0.0.1:(\d+)"', file.read())[1])
    clients = []
    try:
        for engine in engines:
            asyncio.get_running_loop().create_task(engine.supervise(3.0))
        daemon.start()
        await asyncio.sleep(5)
        for number in range(3):
            arguments = [sys.executable, __file__, "client", str(daemon.front), str(SECONDS), f"c{number}"]
            clients.append(subprocess.Popen(arguments, stdout=subprocess.PIPE))
        started, sizes = time.monotonic(), []
        while time.monotonic() - started < SECONDS + 2:
            await asyncio.sleep(5)
            sizes.append(resident_kb(daemon))
            if READ:
                reader, writer = await asyncio.open_connection("127.0.0.1", metrics)
                writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
                await read_head(reader)
                writer.close()
        answered = sum(int(one.communicate()[0]) for one in clients)
        print(f"calls answered: {answered}; resident kB every 5 s: {sizes}")
    finally:
        for one in clients:
            one.kill()
        end_all(engines)
        daemon.stop()


if sys.argv[1:2] == ["client"]:
    asyncio.run(client(int(sys.argv[2]), float(sys.argv[3]), sys.argv[4]))
else:
    with tempfile.TemporaryDirectory() as temporary:
        asyncio.run(main(temporary))
