"""Stand-in backend servers: HTTP/1.1 over asyncio, one request at a time on a connection."""

import asyncio
import json
import secrets
import time
import urllib.parse


class Request:
    """A request as it was received."""

    def __init__(self, method, path, headers, body):
        self.method, self.path, self.headers, self.body = method, path, headers, body

    def header(self, name):
        return self.headers.get(name.lower())


async def read_request(reader):
    """The next request on a connection; `None` at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, path, headers, body)


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += piece[:-2]


REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}


def encode(status, body=b"", **headers):
    """An answer with a length; underscores in names of headers stand for hyphens."""
    lines = [f"HTTP/1.1 {status} {REASONS[status]}", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items() if value]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def signature():
    return f"{secrets.token_hex(2)}.07.{secrets.token_hex(4)}"


class Registrar:
    """Announces a backend server to the coordinators, and again about every 1.2 s."""

    def __init__(self, deployment, server_id, service, address, zone, slots):
        self.deployment, self.id = deployment, server_id
        self.sequence = 0
        self.state = "ready"
        self.body = {"service": service, "address": address, "zone": zone, "version": "v1",
                     "slots": slots, "cold-remaining-ms": 0, "stage": "both",
                     "models": [{"name": "m", "version": 1, "adapters": []}]}

    async def announce(self):
        """One announcement, at up to three coordinators until one acknowledges it."""
        self.sequence += 1
        body = json.dumps({**self.body, "state": self.state, "sequence": self.sequence}).encode()
        path = f"/buckthornnotch/replicas/{urllib.parse.quote(self.id)}"
        for _ in range(3):
            status, _ = await asyncio.to_thread(
                self.deployment.control_call, "PUT", path, body)
            if status == 200:
                return True
        return False

    async def run(self):
        while True:
            started = time.monotonic()
            await self.announce()
            await asyncio.sleep(max(0.0, 1.2 - (time.monotonic() - started)))
