"""A replica leaves a minute after the start; its departure is acknowledged and forgotten."""

import json
import os
import random
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import common  # noqa: E402

# Bounds of the deployment (mwangaza-bustani-grown): `drain-ms`, `heartbeat-ms`, `stable-window-ms`.
DRAIN_S, BEAT_S, STABLE_S = 2.5, 1.2, 4.0
# The replica leaves this long after the start, and serves this much longer than `drain-ms`.
LEAVE_S = float(os.environ.get("LEAVE_S", "72"))
LONGER_S = 4.0
# `scale_in` takes away a share of 0.134 at most on the sheet: one replica of these.
REPLICAS = 8
# Requests a second, from four clients, two at each gateway.
RATE, CLIENTS = 54, 4
SERVICE, PORT = "duka-app", 8120
HOST, KEY, DEADLINE_MS = "app.example", "key-1", 2500


def document():
    route = {
        "hostname": HOST, "timeout-ms": DEADLINE_MS, "priority": 2, "service": SERVICE,
        "public": False,
    }
    return {
        "version": 4,
        "routes": [
            {
                **route, "name": "order-post", "path-prefix": "/order/", "route-type": "unsafe",
                "target-latency-ms": 200, "max-attempts": 1,
            },
            {
                **route, "name": "stock-read", "path-prefix": "/stock/", "route-type": "safe",
                "target-latency-ms": 150, "max-attempts": 2,
            },
        ],
        "services": [{"name": SERVICE, "health-path": "/healthz", "max-connections": 540}],
        "limits": {
            "max-header-bytes": 16384, "max-body-bytes": 4194304,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "t-1", "api-keys": [KEY], "priority": 1}],
    }


class Replica:
    """A sound replica: runs each request in 30 ms and answers it whole."""

    def __init__(self, name, address, zone, nodes, record):
        self.name, self.address, self.zone, self.record = name, address, zone, record
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.nodes, self.node = nodes, random.randrange(len(nodes))
        self.beats, self.running, self.leaves = 0, 0, False
        self.lock = threading.Lock()
        self.arrivals = []
        self.open = []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(64)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.announce, daemon=True).start()
        record("%s is %s at %s; it reports to %s" % (name, self.id, address, self.nodes[self.node]))

    def accept(self):
        while True:
            try:
                stream, _ = self.listener.accept()
            except OSError:
                return
            self.open.append(stream)
            threading.Thread(target=self.serve, args=(stream,), daemon=True).start()

    def serve(self, stream):
        try:
            reader = stream.makefile("rb")
            while True:
                head = reader.readline().decode()
                if not head:
                    return
                headers = {}
                for line in iter(reader.readline, b"\r\n"):
                    if not line:
                        return
                    name, value = line.decode().split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                reader.read(int(headers.get("content-length", 0)))
                stream.sendall(self.answer(head, headers))
        except OSError:
            pass
        finally:
            stream.close()

    def answer(self, head, headers):
        attempt = headers.get("x-attempt-id", "")
        expected = headers.get("x-expect-replica", self.id)
        load = "X-Replica-Load: %d,0,6\r\n" % self.running
        if " /healthz " in head:
            return self.text(200, "X-Replica-Id: %s\r\n%s" % (self.id, load), b"ok")
        if expected != self.id:
            return self.text(421, "X-Not-Executed: 1\r\nX-Attempt-Id: %s\r\n" % attempt, b"")
        with self.lock:
            self.running += 1
            self.arrivals.append((common.now(), attempt, head.split(" ")[1]))
        time.sleep(0.03)
        with self.lock:
            self.running -= 1
        marks = "X-Attempt-Id: %s\r\nX-Replica-Signature: s.%s\r\n" % (attempt, attempt)
        closes = "Connection: close\r\n" if self.leaves else ""
        return self.text(200, marks + load + closes, b"y" * 800)

    @staticmethod
    def text(status, headers, body):
        head = "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n" % (status, headers, len(body))
        return head.encode() + body

    def announce(self):
        while not self.leaves:
            self.beats += 1
            beat = {
                "service": SERVICE, "address": "%s:%d" % self.address, "zone": self.zone,
                "version": "v1", "slots": 6, "state": "ready", "cold-remaining-ms": 0,
                "born": self.born, "sequence": self.beats,
            }
            headers = {"Content-Type": "application/json"}
            path = common.REPLICAS + self.id
            for _ in self.nodes:
                at = self.nodes[self.node]
                if common.call(at, "PUT", path, json.dumps(beat), headers)[0] == 200:
                    break
                # Not acknowledged: the next node is called.
                self.node = (self.node + 1) % len(self.nodes)
            time.sleep(BEAT_S)

    def leave(self):
        """Sends its DELETE to one of the nodes, serves on for a while, and exits."""
        self.leaves = True
        others = [n for n in self.nodes if n != self.nodes[self.node]]
        for at in random.sample(others, len(others)):
            status, _ = common.call(at, "DELETE", common.REPLICAS + self.id)
            self.record("%s sends its DELETE to %s: %s" % (self.name, at, status))
            if status == 200:
                break
        acknowledged = common.now()
        time.sleep(DRAIN_S + LONGER_S)
        self.listener.close()
        for stream in self.open:
            try:
                stream.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.record("%s has exited" % self.name)
        return acknowledged


def client(address, counts, stop):
    """Sends requests on a kept connection, one in four of them a read."""
    import http.client

    connection = None
    while not stop.is_set():
        start = common.now()
        attempt = "%016x" % random.getrandbits(64)
        headers = {
            "Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": str(DEADLINE_MS),
            "Authorization": "Bearer " + KEY,
        }
        try:
            if connection is None:
                connection = http.client.HTTPConnection(*address, timeout=DEADLINE_MS / 1000)
            if random.random() < 0.25:
                connection.request("GET", "/stock/1", headers=headers)
            else:
                connection.request("POST", "/order/1", body=b"x" * 100, headers=headers)
            answer = connection.getresponse()
            answer.read()
            result = answer.status
            if answer.will_close:
                connection.close()
                connection = None
        except (OSError, http.client.HTTPException) as error:
            result = type(error).__name__
            connection.close()
            connection = None
        counts[result] = counts.get(result, 0) + 1
        time.sleep(max(0.0, start + CLIENTS / RATE - common.now()))


def case(system, record):
    seeds, cores = [1, 2, 3], [1, 2, 3, 4, 5]
    for number in cores:
        zone = "abc"[number % 3]
        system.coordinator("core-%d" % number, number, zone, seeds, first=True, losses=2)
        system.start("core-%d" % number)
    for number, zone in zip((11, 12), "ab"):
        system.gateway("edge-%d" % number, number, zone, seeds)
        system.settings["edge-%d" % number]["gateway"].update(retry_slack=230, memory_mb=400)
        system.start("edge-%d" % number)
    nodes = [system.control(n) for n in cores]
    if not common.put_config(document(), nodes, 10, record):
        raise RuntimeError("the system did not start")
    replicas = [
        Replica("replica-%d" % n, (system.ip(20 + n), PORT), "abc"[n % 3], nodes, record)
        for n in range(REPLICAS)
    ]
    time.sleep(STABLE_S)
    counts, stop = {}, threading.Event()
    for number in (11, 12):
        if common.call((system.ip(number), 8220), "GET", common.READY)[0] != 200:
            raise RuntimeError("a gateway is not ready")
        address = (system.ip(number), 8227)
        for _ in range(CLIENTS // 2):
            threading.Thread(target=client, args=(address, counts, stop), daemon=True).start()
    time.sleep(LEAVE_S - common.now())
    leaver = replicas[0]
    before = len(leaver.arrivals)
    acknowledged = common.now()
    if common.TROUBLE:
        acknowledged = leaver.leave()
    time.sleep(1)
    stop.set()
    time.sleep(0.2)
    record("the clients' answers: %s" % counts)
    record("%s got %d requests before its departure was acknowledged" % (leaver.name, before))
    late = [a for a in leaver.arrivals if a[0] > acknowledged + DRAIN_S]
    for at, attempt, path in late:
        record("%s runs %s %s, %.2f s after it" % (leaver.name, attempt, path, at - acknowledged))
    record("%d requests later than %.1f s after it" % (len(late), DRAIN_S))
    if before == 0:
        raise RuntimeError("the replica got no requests")
    return common.TROUBLE and bool(late)


common.main(FOLDER, case)
