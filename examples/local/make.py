#!/usr/bin/env python3
"""Writes the settings of the local system into the folder given: six entries in
three failure domains, three of them with the control role, and nineteen agents."""
import json
import pathlib
import sys

DOMAINS = ["gulberg", "anarkali", "johar"]
CONTROL = [f"127.0.0.1:{7001 + i}" for i in range(3)]
ENTRIES = [f"127.0.0.1:{7001 + i}" for i in range(6)]


def process(folder, name, domain, inbox, operators, **roles):
    settings = {
        "id": name,
        "domain": domain,
        "inbox": f"127.0.0.1:{inbox}",
        "operators": f"127.0.0.1:{operators}",
        "log": {"level": "info", "events": f"run/{name}.events"},
        **roles,
    }
    (folder / f"{name}.json").write_text(json.dumps(settings, indent=2) + "\n")


def main():
    folder = pathlib.Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    for i in range(6):
        name = f"e{i + 1}"
        roles = {"entry": {"callers": f"127.0.0.1:{7101 + i}", "control": CONTROL, "addresses_ttl_ms": 3000}}
        if i < 3:
            peers = [{"id": f"e{n + 1}", "inbox": a} for n, a in enumerate(CONTROL)]
            roles["control"] = {"data": f"run/{name}.data", "peers": peers, "seed": "examples/local/seed.bn"}
        process(folder, name, DOMAINS[i % 3], 7001 + i, 7201 + i, **roles)
    for i in range(19):
        process(folder, f"g{i + 1}", DOMAINS[i % 3], 7301 + i, 7401 + i, agent={"entries": ENTRIES})


main()
