"""Shared parts of the review scripts: processes of the project, an operator, a record.

Python 3 standard library only. All addresses are loopback addresses.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BINARY = os.path.join(ROOT, "target", "release", "buckthornnotch")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()

CONFIG = "/buckthornnotch/config"
REPLICAS = "/buckthornnotch/replicas/"
READY = "/buckthornnotch/readyz"


def now():
    return time.monotonic() - START


class Record:
    """The record of what was sent, answered and run; also printed."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            line = "%8.3f s  %s\n" % (now(), text)
            sys.stdout.write(line)
            sys.stdout.flush()
            self.file.write(line)
            self.file.flush()

    def quiet(self, text):
        """Writes to the record only."""
        with self.lock:
            self.file.write("            %s\n" % text)
            self.file.flush()


class System:
    """The processes that a script has started, and their settings."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.children = {}
        self.settings = {}
        self.net = self._free_net()
        self.inbox_port, self.control_port, self.operators_port = 7340, 8229, 9464

    def _free_net(self):
        """A /24 of loopback addresses that nothing listens on."""
        for _ in range(100):
            net = "127.%d.%d." % (random.randint(10, 250), random.randint(1, 250))
            try:
                for port in (7340, 8229, 9464, 8227, 8220):
                    with socket.socket() as probe:
                        probe.bind((net + "1", port))
                return net
            except OSError:
                continue
        raise RuntimeError("no free loopback addresses")

    def ip(self, number):
        return self.net + str(number)

    def control(self, number):
        return (self.ip(number), self.control_port)

    def coordinator(self, name, number, domain, seeds, first, losses=1):
        """Settings as deploy/coordinator.json gives them."""
        data = os.path.join(self.folder, "data-" + name)
        os.makedirs(data, exist_ok=True)
        self.settings[name] = {
            "id": name,
            "domain": domain,
            "inbox": "%s:%d" % (self.ip(number), self.inbox_port),
            "operators": "%s:%d" % (self.ip(number), self.operators_port),
            "log": {"level": "info", "json": True},
            "coordinator": {
                "control": "%s:%d" % self.control(number),
                "seeds": ["%s:%d" % self.control(s) for s in seeds],
                "first": first,
                "data": data,
                "losses": losses,
            },
        }

    def gateway(self, name, number, domain, seeds, grace_s=8):
        """Settings as deploy/gateway.json gives them."""
        self.settings[name] = {
            "id": name,
            "domain": domain,
            "inbox": "%s:%d" % (self.ip(number), self.inbox_port),
            "operators": "%s:%d" % (self.ip(number), self.operators_port),
            "log": {"level": "info", "json": True},
            "gateway": {
                "callers": "%s:8227" % self.ip(number),
                "readiness": "%s:8220" % self.ip(number),
                "directory": "%s:8228" % self.ip(number),
                "seeds": ["%s:%d" % self.control(s) for s in seeds],
                "grace_s": grace_s,
                "retry_ratio": 0.2,
                "retry_slack": 90,
                "retry_window_s": 10,
                "memory_mb": 260,
            },
        }

    def relay(self, name, number, domain, engine):
        """Settings as deploy/relay.json gives them."""
        self.settings[name] = {
            "id": name,
            "domain": domain,
            "inbox": "%s:%d" % (self.ip(number), self.inbox_port),
            "operators": "%s:%d" % (self.ip(number), self.operators_port),
            "log": {"level": "info", "json": True},
            "relay": {"engine": engine},
        }

    def start(self, name):
        """Starts a process with the command of the deploy file."""
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings[name], file, indent=2)
        log = open(os.path.join(self.folder, name + ".log"), "a")
        child = subprocess.Popen(
            [BINARY, "run", "--settings", path], cwd=ROOT, stdout=log, stderr=log
        )
        log.close()
        self.children[name] = child
        self.record("start of %s (process %d)" % (name, child.pid))

    def signal(self, name, number):
        self.children[name].send_signal(number)
        self.record("%s to %s" % (signal.Signals(number).name, name))

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.children[name].wait()

    def wipe(self, name):
        """The machine's disk is lost: it comes back empty, and the system is not new any more."""
        data = self.settings[name]["coordinator"]["data"]
        shutil.rmtree(data)
        os.makedirs(data)
        self.settings[name]["coordinator"]["first"] = False
        self.record("the disk of %s is lost" % name)

    def stop_all(self):
        for child in self.children.values():
            if child.poll() is None:
                child.kill()
        for child in self.children.values():
            child.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def call(address, method, path, body=None, headers=None, timeout=1.0):
    """One HTTP call; returns status and body, or None and the error."""
    connection = http.client.HTTPConnection(address[0], address[1], timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException) as error:
        return None, str(error) or type(error).__name__
    finally:
        connection.close()


def put_config(document, nodes, seconds, record):
    """Sends a configuration to one node after the other until it is acknowledged."""
    body = json.dumps(document).encode()
    until, delay = now() + seconds, 0.1
    answers = {}
    while now() < until:
        for node in nodes:
            status, _ = call(node, "PUT", CONFIG, body, {"Content-Type": "application/json"})
            answers[status] = answers.get(status, 0) + 1
            if status == 200:
                record("version %d acknowledged by %s" % (document["version"], node[0]))
                return node
            if now() >= until:
                break
        time.sleep(delay)
        delay = min(delay * 1.5, 0.5)
    record(
        "version %d not acknowledged within %.1f s; answers: %s"
        % (document["version"], seconds, answers)
    )
    return None


def main(folder, case):
    """Runs a case: `case(system, record)` returns whether the rule was broken."""
    record = Record(folder)
    system = None
    code = 2
    try:
        if not os.path.exists(BINARY):
            raise RuntimeError("the build of the deploy file is missing")
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        system = System(record)
        record("TROUBLE=%d" % TROUBLE)
        broken = case(system, record)
        code = 1 if broken else 0
        record("the rule was broken" if broken else "the rule held")
    except Exception:  # The case could not run.
        record("the case could not run:\n" + traceback.format_exc())
    finally:
        if system is not None:
            system.stop_all()
    sys.exit(code)
