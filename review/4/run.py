"""Case 4: a disk is lost shortly after a core machine was replaced as planned."""

import json
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from deployment import CannotRun, Deployment, Record, trouble  # noqa: E402
from plain import document  # noqa: E402

# Bounds of the deployment.
CATCH_UP_SECONDS, RECOVER_SECONDS, STABLE_SECONDS = 4.0, 12.0, 3.0
# From the successor's start to the SIGTERM of the machine that it replaces.
LEAD_SECONDS = float(os.environ.get("LEAD_S", "5.0"))
# From that SIGTERM to the change whose acknowledgement a disk is lost after.
CHANGE_SECONDS = float(os.environ.get("CHANGE_S", "0.5"))
DOWN_SECONDS = 2.0
READ_SECONDS = 25.0
SEED = int(os.environ.get("SEED", "0")) or random.randrange(1 << 30)


def send(deployment, record, version, nodes, within):
    """Sends a configuration, to one node after the other, until one acknowledges it; that one."""
    body = json.dumps({**document("app", "safe", 8000, 400), "version": version}).encode()
    until = time.monotonic() + within
    while time.monotonic() < until:
        for node in nodes:
            status, _ = deployment.control_call("PUT", "/buckthornnotch/config", body, node)
            record.put(f"operator: version {version} sent to {node.name} -> {status}")
            if status == 200:
                return node
        time.sleep(0.3)
    return None


def read_back(deployment, record, nodes, acknowledged):
    """Reads the configuration at all nodes again and again; whether it comes and is new enough."""
    until, seen = time.monotonic() + READ_SECONDS, {}
    while time.monotonic() < until:
        for node in nodes:
            status, body = deployment.control_call(
                "GET", "/buckthornnotch/config", coordinator=node)
            version = json.loads(body)["version"] if status == 200 else None
            answer = f"{status}" + (f", version {version}" if version else "")
            if seen.get(node.name) != answer:
                seen[node.name] = answer
                record.put(f"operator: reads at {node.name} -> {answer}")
            if version is not None:
                return version >= acknowledged
        time.sleep(0.5)
    return False


def replace_all(deployment, record, first):
    """VARIANT=rolling: each machine has its successor first; planned work alone."""
    successors = [deployment.add_coordinator() for _ in first]
    for successor in successors:
        successor.start()
        record.put(f"platform: {successor.name} starts with an empty disk")
    time.sleep(LEAD_SECONDS)
    if send(deployment, record, 9, first, 4.0) is None:
        raise CannotRun("the change was not acknowledged")
    for replaced in first if trouble() else first[:1]:
        replaced.signal(signal.SIGTERM)
        replaced.child.wait()
        record.put(f"platform: {replaced.name} has got SIGTERM and is removed for good")
        deployment.coordinators.remove(replaced)
        time.sleep(CHANGE_SECONDS)


def replace_one(deployment, record, rng, first):
    """One machine has its successor first; shortly after its end another one loses its disk."""
    successor = deployment.add_coordinator()
    successor.start()
    record.put(f"platform: {successor.name} starts with an empty disk")
    time.sleep(LEAD_SECONDS)
    replaced = rng.choice(first)
    replaced.signal(signal.SIGTERM)
    replaced.child.wait()
    record.put(f"platform: {replaced.name} has got SIGTERM and is removed for good")
    deployment.coordinators.remove(replaced)
    deployment.coordinator_ips = [c.ip for c in deployment.coordinators]
    time.sleep(CHANGE_SECONDS)
    nodes = list(deployment.coordinators)
    rng.shuffle(nodes)
    acknowledged_by = send(deployment, record, 9, nodes, 4.0)
    if acknowledged_by is None:
        raise CannotRun("the change was not acknowledged")
    if trouble():
        acknowledged_by.stop()
        acknowledged_by.lose_disk()
        record.put(f"platform: {acknowledged_by.name} has lost its power and its disk")
        time.sleep(DOWN_SECONDS)
        acknowledged_by.start()
        record.put(f"platform: {acknowledged_by.name} starts again with an empty disk")


def play(deployment, record):
    rng = random.Random(SEED)
    record.put(f"seed {SEED}")
    first = list(deployment.coordinators)
    if not send(deployment, record, 7, first, 20.0):
        raise CannotRun("the first configuration was not acknowledged")
    deployment.wait_ready()
    # Calm for longer than the stable window and the time to catch up.
    time.sleep(STABLE_SECONDS + CATCH_UP_SECONDS)

    if os.environ.get("VARIANT") == "rolling":
        replace_all(deployment, record, first)
    else:
        replace_one(deployment, record, rng, first)
    time.sleep(RECOVER_SECONDS + STABLE_SECONDS)
    record.put("the time to recover and the stable window are over")
    comes = read_back(deployment, record, deployment.coordinators, 9)
    accepted = send(deployment, record, 12, deployment.coordinators, 5.0) is not None
    running = [c.name for c in deployment.coordinators if c.child.poll() is None]
    record.put(f"running: {', '.join(running)}; the next change is "
               f"{'acknowledged' if accepted else 'not acknowledged'}")
    return comes


def main():
    record = Record(HERE)
    deployment = None
    try:
        deployment = Deployment(gateways=1)
        deployment.start()
        holds = play(deployment, record)
    except Exception as e:  # A fault of the script itself is no broken rule.
        record.put(f"cannot run: {e!r}")
        return 2
    finally:
        if deployment:
            deployment.stop()
    record.put("the rule held" if holds else "version 9 was acknowledged and can't be read back")
    record.close()
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
