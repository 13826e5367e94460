"""Measures the memory of a daemon while clients read long answers slowly. No case: see REPORT.md.

    python3 review/tried/memory.py CLIENTS ANSWER_BYTES MEMORY_MB
"""

import asyncio
import os
import socket
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from standins import Machine, Runner, Store, loopback, run_case, until  # noqa: E402

CLIENTS, ANSWER_BYTES, MEMORY_MB = (int(argument) for argument in sys.argv[1:4])
HOST, KEY, SERVICE = "ficu95.example", "n2ctnfzs989anu6wsjnb", "wuno96b"
TIME_LIMIT_MS = 15_000

CONFIG = {
    "version": 7,
    "routes": [{"name": "r-1", "host": HOST, "path-prefix": "/cufi504/", "route-type": "safe",
                "timeout-ms": TIME_LIMIT_MS, "target-latency-ms": 2000, "priority": 2,
                "service": SERVICE, "max-attempts": 2, "public": False}],
    "services": [{"name": SERVICE, "health-path": "/health", "max-conns": 220}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
               "idle-timeout-ms": 15000},
    "tenants": [{"name": "hule930", "api-keys": [KEY], "priority": 1}],
}
SETTINGS = {
    "limits": {"cpu-share": 0.5, "cores": 1, "memory-mb": MEMORY_MB, "max-fds": 4100,
               "link-mbps": 200.0, "disk-mb": 0},
    "contracts": ["base", "drain", "config"],
    "bounds": {"grace-s": 8, "config-ms": 3000},
}


def memory(process, field):
    """Returns a figure of the process's memory in units of 1,000,000 bytes."""
    with open(f"/proc/{process.pid}/status") as file:
        line = next(line for line in file if line.startswith(field))
    return int(line.split()[1]) * 1024 / 1e6


async def read_slowly(address, number, answered):
    loop = asyncio.get_running_loop()
    ip, port = address.rsplit(":", 1)
    with socket.socket() as sock:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1_460)
        try:
            await loop.sock_connect(sock, (ip, int(port)))
            text = (f"GET /cufi504/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {number:016x}\r\n"
                    f"Deadline-Ms: {TIME_LIMIT_MS}\r\nAuthorization: Bearer {KEY}\r\n\r\n")
            await loop.sock_sendall(sock, text.encode())
            while data := await loop.sock_recv(sock, 4_096):
                answered.add(number)
                await asyncio.sleep(1)
        except OSError:
            pass


async def case(record, scratch, machines):
    store = Store(record)
    await store.start(loopback())
    store.put("op", "config", CONFIG)
    for _ in range(3):
        runner = Runner(record, store, SERVICE, "zona-norte", lambda *_: b"x" * ANSWER_BYTES)
        await runner.start(loopback())
    machine = Machine(record, "front-1", "zona-norte", store, scratch, SETTINGS)
    machines.append(machine)
    machine.start(machines)
    await until("the daemon is ready", machine.is_ready, 15)
    record.say(f"at rest: {memory(machine.process, 'VmRSS'):.1f} MB")
    answered = set()
    for number in range(CLIENTS):
        asyncio.create_task(read_slowly(machine.front, number, answered))
        if number % 100 == 99:
            await asyncio.sleep(0.01)
    await asyncio.sleep(5)
    peak = memory(machine.process, "VmHWM")
    record.say(f"{CLIENTS} clients at once, answers of {ANSWER_BYTES} bytes: {len(answered)} are being "
               f"answered, peak {peak:.1f} MB of {MEMORY_MB}")
    return peak <= MEMORY_MB


run_case(case, FOLDER)
