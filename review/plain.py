"""A stand-in plain service: replicas that answer after some work, and a configuration for them."""

import asyncio

from httpd import encode, read_request, signature

LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
          "idle-timeout-ms": 15000}


class Replica:
    """One replica; `work` returns the seconds and the body of an answer."""

    def __init__(self, server_id, ip, port, record, work):
        self.id, self.ip, self.port, self.record, self.work = server_id, ip, port, record, work
        self.running = 0

    async def serve(self):
        return await asyncio.start_server(self.on_connection, self.ip, self.port)

    async def on_connection(self, reader, writer):
        try:
            while request := await read_request(reader):
                writer.write(await self.answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        expected = request.header("x-expect-replica")
        if expected and expected != self.id:
            return encode(421, X_Replica_Id=self.id)
        echo = request.header("x-attempt-id")
        if request.path == "/healthz":
            return encode(200, X_Replica_Id=self.id, X_Attempt_Id=echo)
        self.record.put(f"replica {self.id}: runs {echo}")
        self.running += 1
        try:
            seconds, body = self.work(request)
            await asyncio.sleep(seconds)
        finally:
            self.running -= 1
        return encode(200, body, X_Attempt_Id=echo, X_Replica_Signature=signature(),
                      X_Replica_Load=f"{self.running},0,6")


def document(service, kind, timeout_ms, target_ms):
    """A configuration with one route to one plain service."""
    route = {
        "name": "r-plain", "hostname": "kiosk.example", "path-prefix": "/kiosk/",
        "route-type": kind, "timeout-ms": timeout_ms, "target-latency-ms": target_ms,
        "priority": 1, "service": service, "max-attempts": 1, "public": True,
        "session-affinity": False,
    }
    services = [{"name": service, "health-path": "/healthz", "max-connections": 96,
                 "protocol": "h1", "tls": False}]
    return {"version": 7, "routes": [route], "services": services, "limits": LIMITS, "tenants": []}
