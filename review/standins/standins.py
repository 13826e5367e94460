"""Stand-ins for review scripts: the platform's store, runners, clients and the start of daemons.

Only the standard library is used. Every address is a loopback address.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
STARTED = time.monotonic()


def now():
    """Returns the seconds since this script started."""
    return time.monotonic() - STARTED


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def line(self, text):
        self.file.write(f"{now():9.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        print(text, flush=True)
        self.line(text)


# --- HTTP/1.1 -----------------------------------------------------------------------------------


async def read_head(reader):
    """Reads a head; returns its first line and the headers, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise ConnectionError
            size = int(line, 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", 0) or 0))


def head(status, headers, reason="x"):
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{k}: {v}" for k, v in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def close(writer):
    writer.close()
    try:
        await asyncio.wait_for(writer.wait_closed(), 2)
    except (Exception, asyncio.TimeoutError):
        pass


# --- The platform's store -----------------------------------------------------------------------


class Store:
    """Tables of rows with versions, a feed of changes and conditional transactions."""

    TX_S = 0.005
    READ_S = 0.004

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.log = []
        self.changed = asyncio.Event()

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address, 0, backlog=512)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, table, key, value):
        """Writes a row as the operator or a runner does; returns the version."""
        self.version += 1
        self.write(table, key, json.dumps(value).encode())
        self.wake()
        return self.version

    def remove(self, table, key):
        self.version += 1
        self.write(table, key, None)
        self.wake()

    def write(self, table, key, value):
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (value, self.version)
        self.log.append((self.version, table, key))

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, table, key):
        value, version = self.rows.get((table, key), (None, 0))
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is not None:
            row["value"] = base64.b64encode(value).decode()
        return row

    def stamp(self):
        return {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}

    async def serve(self, reader, writer):
        try:
            while True:
                got = await read_head(reader)
                if got is None:
                    break
                line, headers = got
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                status, answer = await self.answer(method, target, body)
                data = json.dumps(answer).encode()
                fields = [("content-type", "application/json"), ("content-length", len(data))]
                writer.write(head(status, fields) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            await close(writer)

    async def answer(self, method, target, body):
        from urllib.parse import parse_qs, urlsplit

        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        if (method, parts.path) == ("POST", "/rows-tx"):
            return await self.transact(json.loads(body))
        if (method, parts.path) == ("GET", "/rows-get"):
            await asyncio.sleep(self.READ_S)
            return self.get(query)
        if (method, parts.path) == ("GET", "/rows-feed"):
            return await self.feed(query)
        return 404, {}

    async def transact(self, change):
        await asyncio.sleep(self.TX_S)
        expected = change.get("if-revision", [])
        differs = any(self.row(r["table"], r["key"])["ver"] != r["ver"] for r in expected)
        if differs:
            rows = [self.row(r["table"], r["key"]) for r in expected]
            return 412, {"rows": rows, **self.stamp()}
        self.version += 1
        for row in change.get("put", []):
            self.record.line(f"store: a daemon wrote {row['table']}/{row['key']}")
            self.write(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in change.get("remove", []):
            self.write(row["table"], row["key"], None)
        self.wake()
        return 200, self.stamp()

    def get(self, query):
        keys = sorted(k for t, k in self.rows if t == query["table"] and k >= query.get("from", ""))
        limit = min(int(query.get("limit", 500)), 500)
        rows = [self.row(query["table"], key) for key in keys[:limit]]
        return 200, {"rows": rows, "more": len(keys) > limit, **self.stamp()}

    async def feed(self, query):
        table, since = query["table"], int(query["since-revision"])
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        await asyncio.sleep(self.READ_S)
        while True:
            keys = {k for v, t, k in self.log if t == table and v > since}
            left = until - time.monotonic()
            if keys or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        rows = []
        for key in keys:
            row = self.row(table, key)
            if "value" not in row:
                row["gone"] = True
                row["ver"] = max(v for v, t, k in self.log if (t, k) == (table, key))
            rows.append(row)
        rows.sort(key=lambda row: row["ver"])
        return 200, {"rows": rows, **self.stamp()}


# --- Runners ------------------------------------------------------------------------------------


class Runner:
    """A sound runner. `answer` yields the body of each answer."""

    SLOTS = 32

    def __init__(self, record, store, service, zone, body):
        self.id = "i-%08x" % random.getrandbits(32)
        self.record, self.store, self.service, self.zone, self.body = (
            record,
            store,
            service,
            zone,
            body,
        )
        self.ran = []

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address, 0, backlog=512)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.state("ready")

    def state(self, state):
        row = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.SLOTS,
            "state": state,
            "cold-left-ms": 0,
            "sequence": 1,
        }
        self.store.put("servers", self.id, row)

    async def serve(self, reader, writer):
        try:
            while True:
                got = await read_head(reader)
                if got is None:
                    break
                line, headers = got
                body = await read_body(reader, headers)
                if not await self.run(line, headers, body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            await close(writer)

    async def run(self, line, headers, body, writer):
        label = headers.get("request-id", "-")
        if headers.get("expect-instance") not in (None, self.id):
            writer.write(head(421, [("instance-id", self.id), ("content-length", 0)]))
            await writer.drain()
            return True
        run = {"at": now(), "id": label, "line": line, "headers": headers, "body": body}
        self.ran.append(run)
        self.record.line(
            f"runner {self.id} of {self.service} runs {label} ({line.split(' ')[1]}, "
            f"tenant {headers.get('tenant')})"
        )
        data = self.body(line, headers, body)
        fields = [
            ("request-id", label),
            ("response-signature", f"s.{self.id}.{label}"),
            ("server-load", f"1,0,{self.SLOTS}"),
            ("content-length", len(data)),
        ]
        writer.write(head(200, fields) + data)
        await writer.drain()
        run["sent"] = now()
        return True


# --- Clients ------------------------------------------------------------------------------------


class Answer:
    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.whole = False
        self.error = ""


async def ask(address, method, path, host, key, label, deadline_ms, body=b"", read=None):
    """Sends a request on a connection of its own. `read` reads the body; whole by default."""
    answer = Answer()
    ip, port = address.rsplit(":", 1)
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
    except (OSError, asyncio.TimeoutError) as error:
        answer.error = f"no connection ({type(error).__name__})"
        return answer
    try:
        fields = [
            f"{method} {path} HTTP/1.1",
            f"Host: {host}",
            f"Request-Id: {label}",
            f"Deadline-Ms: {deadline_ms}",
            f"Content-Length: {len(body)}",
        ]
        if key is not None:
            fields.append(f"Authorization: Bearer {key}")
        writer.write(("\r\n".join(fields) + "\r\n\r\n").encode() + body)
        await asyncio.wait_for(exchange(reader, answer), deadline_ms / 1000)
    except asyncio.TimeoutError:
        answer.error = "no whole answer in time"
    except (ConnectionError, asyncio.IncompleteReadError) as error:
        answer.error = f"cut ({type(error).__name__})"
    finally:
        await close(writer)
    return answer


async def exchange(reader, answer):
    got = await read_head(reader)
    if got is None:
        raise ConnectionError
    answer.status = int(got[0].split(" ")[1])
    answer.headers = got[1]
    answer.body = await read_body(reader, got[1])
    answer.whole = True


# --- Daemons ------------------------------------------------------------------------------------


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def loopback(metrics_port=9464):
    """Returns a loopback address of its own for a machine, on which the metrics port is free."""
    while True:
        ip = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        try:
            with socket.socket() as probe:
                probe.bind((ip, metrics_port))
            return ip
        except OSError:
            pass


class Machine:
    """A machine of class `front` on which the role of deploy/system.toml runs."""

    def __init__(self, record, name, zone, store, folder, settings):
        self.record, self.name, self.zone, self.store = record, name, zone, store
        self.folder, self.more = folder, settings
        self.ip = loopback()
        self.front = f"{self.ip}:{free_port(self.ip)}"
        self.ready = f"{self.ip}:{free_port(self.ip)}"
        self.control = f"{self.ip}:{free_port(self.ip)}"
        self.process = None
        self.starts = 0

    def settings(self, machines):
        zones = {m.zone: "region-1" for m in machines}
        base = {
            "node": self.name,
            "role": "entry",
            "machine-class": "front",
            "serves": ["front", "control"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "region-1",
            "zones": zones,
            "listen": {"front": self.front, "ready": self.ready, "control": self.control},
            "port-range": [7340, 7355],
            "seeds": [m.control for m in machines[:3]],
            "bootstrap": self.starts == 0,
            "fault-counted": False,
            "data-dir": None,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeat-ms": 1200,
            "provider": {
                "address": self.store.address,
                "form": "table",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "tx_ms": 5.0,
                "part_writes_per_s": 200,
                "row_bytes": 65536,
                "across": False,
                "history-s": 20,
            },
        }
        return {**base, **self.more}

    def start(self, machines):
        path = os.path.join(self.folder, f"{self.name}.json")
        with open(path, "w") as file:
            json.dump(self.settings(machines), file)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env.update(role.get("env", {}))
        env["SORRELDECK_NODE_FILE"] = path
        self.log = os.path.join(self.folder, f"{self.name}-{self.starts}.log")
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(
                role["run"].split(" "), cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT
            )
        self.starts += 1
        self.record.line(f"started {self.name} at {self.front}, process {self.process.pid}")

    def send(self, number):
        self.record.line(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def is_ready(self):
        answer = await ask(self.ready, "GET", "/ready", "ready", "-", "-", 1000)
        return answer.status == 200

    def log_lines(self, text):
        with open(self.log, "rb") as file:
            lines = file.read().decode("utf-8", "replace").splitlines()
        return [line for line in lines if text in line]


async def until(what, holds, seconds):
    """Waits until a condition holds; raises TimeoutError otherwise."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await holds():
            return
        await asyncio.sleep(0.05)
    raise TimeoutError(what)


def run_case(case, folder):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    `case(record, scratch, machines)` returns whether the rule held; the machines that it puts into
    the list are ended afterwards.
    """
    record = Record(folder)
    machines = []
    loop = asyncio.new_event_loop()
    # Connections that daemons leave open are of no interest.
    loop.set_exception_handler(lambda *_: None)
    with tempfile.TemporaryDirectory() as scratch:
        try:
            held = loop.run_until_complete(asyncio.wait_for(case(record, scratch, machines), 110))
            code = 0 if held else 1
        except Exception as error:  # The case could not be set up.
            record.say(f"the case could not run: {type(error).__name__}: {error}")
            code = 2
        finally:
            for machine in machines:
                if machine.process and machine.process.poll() is None:
                    machine.process.send_signal(signal.SIGCONT)
                    machine.process.kill()
                    machine.process.wait()
    results = {0: "the rule held", 1: "the rule was broken", 2: "not run"}
    record.say(f"result: {results[code]}")
    # The stand-ins' tasks end with this process.
    os._exit(code)
