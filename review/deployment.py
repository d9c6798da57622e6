"""Starts the project's own processes on loopback addresses, as the deploy file does.

Shared by the cases of the second review. Standard library only. Every process has an address of its
own in 127.0.0.0/8, with the same ports on all of them; settings are the deploy file's templates,
filled in as the platform does it.
"""

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ZONES = ["zone-a", "zone-b", "zone-c"]
# The bounds of the small deployments.
BOUNDS = {
    "grace-s": 8, "retry-budget-ratio": 0.2, "retry-budget-slack": 90, "budget-window-s": 10,
    "drain-ms": 2000, "config-apply-ms": 2000, "stable-window-ms": 3000,
}
PORT_NAMES = ["inbox", "control", "frontend", "readiness", "directory", "app"]
OPERATORS_PORT = 9464


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


def free_ports(count):
    """Ports that are free on every loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for s in sockets:
            s.bind(("0.0.0.0", 0))
        return [s.getsockname()[1] for s in sockets]
    finally:
        for s in sockets:
            s.close()


def reserve_subnet():
    """Third octet of 127.0.x.y such that nothing listens on the operators' port there, and a socket
    that keeps other deployments of the review out for as long as it is open."""
    for _ in range(50):
        octet = random.SystemRandom().randrange(20, 250)
        reservation, probe = socket.socket(), socket.socket()
        try:
            reservation.bind((f"127.0.{octet}.254", OPERATORS_PORT))
            probe.bind((f"127.0.{octet}.11", OPERATORS_PORT))
            return octet, reservation
        except OSError:
            reservation.close()
        finally:
            probe.close()
    raise CannotRun("no free addresses")


def look_up(fields, path):
    """A value by its dotted path; list entries by number."""
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def fill_template(text, fields):
    """Fills in a settings template: sections that depend on a value, and placeholders."""

    def section(match):
        kind, path, inner = match.group(1), match.group(2), match.group(3)
        present = look_up(fields, path) not in (None, False)
        return inner if present == (kind == "#") else ""

    def placeholder(match):
        path, _, form = match.group(1).partition("|")
        value = look_up(fields, path)
        if form == "json" or isinstance(value, (bool, dict, list)):
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{([#^])([\w.-]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.|-]+)\}\}", placeholder, text)


class Process:
    """One process of the system, which can be signalled and started again."""

    def __init__(self, deployment, role, name, ip, zone, extra):
        self.deployment, self.role, self.name, self.ip = deployment, role, name, ip
        self.zone, self.extra = zone, extra
        self.child = None
        self.log_path = os.path.join(deployment.folder, name + ".log")

    def settings(self, first):
        d = self.deployment
        ports = d.ports
        fields = {
            "node-name": self.name, "ip": self.ip, "zone": self.zone,
            "listen": {
                "frontend": f"{self.ip}:{ports['frontend']}",
                "readiness": f"{self.ip}:{ports['readiness']}",
                "directory": f"{self.ip}:{ports['directory']}",
                "control-plane": f"{self.ip}:{ports['control']}",
            },
            "internal-ports": [ports["inbox"]],
            "seeds": [f"{c}:{ports['control']}" for c in d.coordinator_ips],
            "bootstrap": first, "bounds": BOUNDS, "limits": {"memory-mb": 260},
            "fault-tolerance": {"machines": 1},
            "data-dir": os.path.join(d.folder, self.name + ".data"),
            **self.extra,
        }
        role = d.deploy["roles"][self.role]
        with open(os.path.join(ROOT, role["template"])) as f:
            text = fill_template(f.read(), fields)
        path = os.path.join(d.folder, self.name + ".json")
        with open(path, "w") as f:
            f.write(text)
        return role["run"], path

    def start(self, first=False):
        run, path = self.settings(first)
        words = run.split()
        words[words.index("--settings") + 1] = path
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        log = open(self.log_path, "ab")
        self.child = subprocess.Popen(words, cwd=ROOT, env=env, stdout=log, stderr=log)
        log.close()

    def lose_disk(self):
        """Empties the disk of the process, which has ended."""
        shutil.rmtree(os.path.join(self.deployment.folder, self.name + ".data"))

    def signal(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def stop(self):
        """Ends the process at once, also if it is stopped by a signal."""
        if self.child is None:
            return
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        self.child.wait()

    def log_lines(self):
        with open(self.log_path, errors="replace") as f:
            for line in f:
                try:
                    yield json.loads(line)
                except ValueError:
                    continue


class Deployment:
    """Three coordinators, some gateways, and relays beside the engines that are named."""

    def __init__(self, gateways=1, relays=0):
        self.folder = tempfile.mkdtemp(prefix="bn-review-")
        self.subnet, self.reservation = reserve_subnet()
        self.ports = dict(zip(PORT_NAMES, free_ports(len(PORT_NAMES))))
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            self.deploy = tomllib.load(f)
        binary = os.path.join(ROOT, self.deploy["roles"]["gateway"]["run"].split()[0])
        if not os.path.exists(binary):
            raise CannotRun("the build of the deploy file is missing")
        self.coordinator_ips = [self.address(11 + i) for i in range(3)]
        make = lambda role, i, ip, **extra: Process(
            self, role, f"{role}-{i}", ip, ZONES[i % 3], extra)
        self.coordinators = [
            make("coordinator", i, ip) for i, ip in enumerate(self.coordinator_ips)]
        self.gateways = [make("gateway", i, self.address(21 + i)) for i in range(gateways)]
        self.relays = [
            make("relay", i, self.address(101 + i), app=f"{self.address(101 + i)}:{self.ports['app']}")
            for i in range(relays)]
        signal.signal(signal.SIGTERM, self.on_told_to_end)

    def on_told_to_end(self, *_):
        """A script that is told to end still ends its processes."""
        self.stop()
        os._exit(2)

    def address(self, host):
        return f"127.0.{self.subnet}.{host}"

    @property
    def processes(self):
        return self.coordinators + self.gateways + self.relays

    def start(self):
        for process in self.processes:
            process.start(first=True)

    def add_coordinator(self):
        """Another machine of the core, with an empty disk and a new address; not started yet."""
        number = len(self.coordinators)
        process = Process(self, "coordinator", f"coordinator-{number}", self.address(11 + number),
                          ZONES[number % 3], {})
        self.coordinators.append(process)
        return process

    def stop(self):
        for process in self.processes:
            process.stop()
        self.reservation.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def control_call(self, method, path, body=None, coordinator=None, timeout=1.0):
        """One call to a coordinator; returns its status and body, or 0 without an answer."""
        ip = (coordinator or random.choice(self.coordinators)).ip
        url = f"http://{ip}:{self.ports['control']}{path}"
        request = urllib.request.Request(url, data=body, method=method)
        request.add_header("Content-Type", "application/json")
        try:
            with urllib.request.urlopen(request, timeout=timeout) as answer:
                return answer.status, answer.read()
        except urllib.error.HTTPError as e:
            return e.code, e.read()
        except OSError:
            return 0, b""

    def put_document(self, document, within=20.0):
        """Sends a configuration until it is acknowledged."""
        body = json.dumps(document).encode()
        until = time.monotonic() + within
        while time.monotonic() < until:
            status, _ = self.control_call("PUT", "/buckthornnotch/config", body)
            if status == 200:
                return
            time.sleep(0.2)
        raise CannotRun("the configuration was not acknowledged")

    def wait_ready(self, within=20.0):
        """Waits until every gateway says that it is ready."""
        until = time.monotonic() + within
        waiting = list(self.gateways)
        while waiting and time.monotonic() < until:
            waiting = [g for g in waiting if not self.is_ready(g)]
            time.sleep(0.1)
        if waiting:
            raise CannotRun("a gateway is not ready")

    def is_ready(self, gateway):
        url = f"http://{gateway.ip}:{self.ports['readiness']}/buckthornnotch/readyz"
        try:
            with urllib.request.urlopen(url, timeout=1.0) as answer:
                return answer.status == 200
        except OSError:
            return False


class Record:
    """The record of a case: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def put(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f}  {text}\n")

    def close(self):
        self.file.close()


def trouble():
    """Whether the disruption is to be caused; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"
