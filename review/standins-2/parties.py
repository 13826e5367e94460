"""Stand-ins of runners and clients for the cases of the second review."""

import asyncio
import json
import socket
import time

from platform_standins import read_head, read_request, response


class Runner:
    """A sound runner of a plain service: it runs what it is sent and answers with its receipt."""

    def __init__(self, name, service, record, zone="nrb-a", slots=32, version="v1"):
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.version, self.record = slots, version, record
        self.state, self.sequence, self.address = "ready", 0, None
        self.runs = []  # (time, request id)
        self.answer = self.plain

    async def start(self, ip="127.0.0.2"):
        server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        return server

    def row(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state,
                "cold-left-ms": 0, "sequence": self.sequence}

    async def check_in(self, store, every_s=1.2):
        while True:
            await store.put("servers", self.name, self.row())
            await asyncio.sleep(every_s)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if request.path == "/health":
                    writer.write(response(200, headers=[("Instance-Id", self.name)]))
                    continue
                if request.headers.get("expect-instance", self.name) != self.name:
                    writer.write(response(421, headers=[("Instance-Id", self.name)]))
                    continue
                ident = request.headers.get("request-id", "-")
                self.runs.append((time.monotonic(), ident))
                self.record.add(f"runner {self.name} runs {ident} {request.method} {request.target}")
                await self.answer(request, ident, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def headers(self, ident):
        return [("Request-Id", ident), ("Response-Signature", f"sig.{self.name}.{ident}")]

    async def plain(self, request, ident, writer):
        writer.write(response(200, b"x" * 800, self.headers(ident)))


class Answer:
    """What a client got: the status, the length that was told, and the body's bytes."""

    def __init__(self):
        self.status, self.headers, self.body, self.told, self.whole = None, {}, b"", None, False
        self.ended_by = "-"


def request_text(method, path, ident, key, deadline_ms, host="team.example", more=""):
    return (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {ident}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n{more}\r\n").encode()


def connect(address, receive_buffer=None, segment=None):
    """A blocking connection of a client, with ordinary options of its own socket."""
    s = socket.socket()
    if receive_buffer:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    if segment:
        s.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
    s.settimeout(10)
    s.connect(address)
    return s


def read_answer(s, bytes_per_s=None, step=4096):
    """Reads an answer with a length, no faster than this many bytes a second."""
    answer, data, began = Answer(), b"", time.monotonic()
    total = 0
    while True:
        try:
            part = s.recv(step)
        except (ConnectionError, socket.timeout) as e:
            answer.ended_by = type(e).__name__
            return answer
        if not part:
            answer.ended_by = "end of the connection"
            return answer
        total += len(part)
        if answer.status is None:
            data += part
            if b"\r\n\r\n" not in data:
                continue
            head, _, part = data.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            answer.status = int(lines[0].split(" ")[1])
            for line in lines[1:]:
                name, _, value = line.partition(":")
                answer.headers[name.lower()] = value.strip()
            answer.told = int(answer.headers.get("content-length", -1))
        answer.body += part
        if len(answer.body) >= answer.told >= 0:
            answer.whole, answer.ended_by = True, "its length"
            return answer
        if bytes_per_s:
            ahead = total / bytes_per_s - (time.monotonic() - began)
            if ahead > 0:
                time.sleep(ahead)
