"""A runner restarts under its id while its machine's time of day jumps back, and later drains."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
from parties import Runner, request_text  # noqa: E402
from platform_standins import Entry, Record, Store, read_head, scratch, trouble  # noqa: E402

KEY = "n2ctnfzs989anu6wsjnb"
# The largest jump of the pages' list of impairments.
JUMP_MS = 2000
# How long after its first start the runner starts again.
RESTART_AFTER_S = 1.5
DRAIN_AFTER_S = 4.0
DRAIN_MS = 5000
# How long the runner serves on after the store has taken that it drains: drain-ms and a little.
SERVES_ON_S = DRAIN_MS / 1000 + 4.0
REQUEST_EVERY_S = 0.025
# The time that a runner works on a request.
WORK_S = 0.15
SITE_BOUNDS = {"contact-ms": 6000, "ack-ms": 10000, "catch-up-s": 6, "drain-ms": DRAIN_MS,
               "config-ms": 5000, "max-skew-ms": 10000}

CONFIG = {
    "version": 7,
    "routes": [{"name": "r-1", "host": "team.example", "path-prefix": "/clock/",
                "route-type": "unsafe", "timeout-ms": 1500, "target-latency-ms": 120,
                "priority": 1, "service": "daftari", "max-attempts": 1, "public": False}],
    "services": [{"name": "daftari", "health-path": "/health", "max-conns": 680,
                  "protocol": "h1", "tls": False}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
               "idle-timeout-ms": 15000},
    "tenants": [{"name": "hule930", "api-keys": [KEY], "priority": 1}],
}


class Boot(Runner):
    """A runner whose rows name when it was started, by the time of day of its machine."""

    born = 0

    def __init__(self, *args):
        super().__init__(*args)
        self.at_work, self.answer = set(), self.work

    def row(self):
        return dict(super().row(), born=self.born)

    async def work(self, request, ident, writer):
        self.at_work.add((ident, writer))
        await asyncio.sleep(WORK_S)
        self.at_work.discard((ident, writer))
        await self.plain(request, ident, writer)

    def leave(self, server):
        """Ends, well after its time to drain: nothing should be under way here any more."""
        server.close()
        lost = sorted(ident for ident, _ in self.at_work)
        for _, writer in self.at_work:
            writer.transport.abort()
        return lost


async def ask(entry, ident, statuses):
    reader, writer = await asyncio.open_connection(*entry.front)
    writer.write(request_text("POST", "/clock/in", ident, KEY, 1500, more="Content-Length: 0\r\n"))
    head = await asyncio.wait_for(read_head(reader), 3)
    writer.close()
    statuses[ident] = head[0].split(" ")[1] if head else "no answer"


async def ask_on(entry, statuses):
    number, asking = 0, set()
    while True:
        number += 1
        ident = f"{number:016x}"
        asking.add(asyncio.ensure_future(ask(entry, ident, statuses)))
        await asyncio.sleep(REQUEST_EVERY_S)


async def play(record, folder):
    store = Store()
    await store.start()
    other = Boot("i-02d9e6b4", "daftari", record)
    other.born = int(time.time() * 1000) - 60_000
    await other.start()
    runner = Boot("i-7f3a91c2", "daftari", record)
    server = await runner.start()
    await store.put("op", "config", CONFIG)
    tasks = [asyncio.ensure_future(other.check_in(store))]
    entry = Entry(1, store, folder, bounds=SITE_BOUNDS)
    entry.start()
    statuses = {}
    try:
        if not await entry.wait_ready():
            record.add("the entry did not become ready: " + entry.log()[-2000:])
            return 2
        ahead_ms = JUMP_MS if trouble() else 0
        record.add(f"the time of day of the runner's machine is {ahead_ms} ms ahead")
        runner.born = int(time.time() * 1000) + ahead_ms
        await store.put("servers", runner.name, runner.row())
        record.add(f"runner {runner.name} started at {runner.born} by its machine's time of day")
        tasks.append(asyncio.ensure_future(ask_on(entry, statuses)))
        await asyncio.sleep(RESTART_AFTER_S)
        record.add("the time of day of the runner's machine is right again")
        runner.born, runner.sequence = int(time.time() * 1000), 0
        await store.put("servers", runner.name, runner.row())
        record.add(f"runner {runner.name} started again at {runner.born}")
        beats = asyncio.ensure_future(runner.check_in(store))
        tasks.append(beats)
        await asyncio.sleep(DRAIN_AFTER_S)
        runner.state = "draining"
        ver = await store.put("servers", runner.name, runner.row())
        drained = time.monotonic()
        record.add(f"the store has taken that runner {runner.name} is draining, version {ver}")
        await asyncio.sleep(SERVES_ON_S)
        late = [at - drained for at, _ in runner.runs if at - drained > DRAIN_MS / 1000]
        beats.cancel()
        lost = runner.leave(server)
        await store.remove("servers", runner.name)
        record.add(f"runner {runner.name} has left")
        await asyncio.sleep(1)
        counts = {status: list(statuses.values()).count(status) for status in set(statuses.values())}
        record.add(f"answers to clients by status: {counts}")
        record.add(f"requests that were under way at the runner when it left: "
                   f"{[(ident, statuses.get(ident)) for ident in lost]}")
        record.add("lines of the entry's log about the runner:")
        for line in entry.log().splitlines():
            if runner.name in line and ("joined" in line or "retired" in line):
                record.add("  " + line[:300])
        before = sum(at < drained for at, _ in runner.runs)
        record.add(f"runner {runner.name} got {before} requests before it said that it drains")
        record.add(f"requests that it got later than drain-ms after that: {len(late)}")
        if before == 0:
            return 2
        return 1 if late else 0
    finally:
        entry.end()
        for task in tasks:
            task.cancel()


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    code = 2
    try:
        with scratch() as folder:
            code = asyncio.run(asyncio.wait_for(play(record, folder), 60))
    except Exception as e:  # the case could not run
        record.add(f"the case could not run: {e!r}")
    record.add(f"exit {code}")
    record.write()
    return code


if __name__ == "__main__":
    sys.exit(main())
