#!/usr/bin/env python3
"""Writes the settings of the example systems: six entries in three failure domains, three
of them with the control role, and nineteen agents; `examples/make.py` after a change."""
import json
import pathlib

HERE = pathlib.Path(__file__).resolve().parent
CONTROL = [f"127.0.0.1:{7001 + i}" for i in range(3)]
ENTRIES = [f"127.0.0.1:{7001 + i}" for i in range(6)]

# Folder: failure domains, engine service, plain service, weights of skew and moves.
SYSTEMS = {
    "local": (["gulberg", "anarkali", "johar"], "notice-gen", "kiosk-ctl", (2, 1)),
    "ventilprova": (["zg-hall-a", "zg-hall-b", "zg-hall-c"], "drafting-llm", "cert-registry", (1, 2)),
}


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


def seed(folder, domains, engine, plain, weights):
    skew, move = weights
    lines = [
        "-- First statements of the system: run once, by the first leader.",
        f"create service {engine} engine=true repeatable=true skew_weight={skew} move_weight={move};",
        f"create service {plain} engine=false repeatable=false;",
        f"create group group-a service={engine} ranks=8 experts=64;",
        f"create group group-b service={engine} ranks=8 experts=64;",
        "create account a1 key=key-a1 rate=4000 share=8 top=urgent;",
        "create account a2 key=key-a2 rate=2000 share=4 top=urgent;",
    ]
    lines += [f"create account a{i} key=key-a{i} rate=500;" for i in range(3, 10)]
    lines.append("create account a10 key=key-a10 rate=500 top=batch;")
    for i, inbox in enumerate(ENTRIES):
        domain, callers = domains[i % 3], f"127.0.0.1:{7101 + i}"
        lines.append(f"create entry e{i + 1} domain={domain} callers={callers} inbox={inbox};")
    lines += [f"create member e{i + 1} inbox={inbox};" for i, inbox in enumerate(CONTROL)]
    (folder / "seed.bn").write_text("\n".join(lines) + "\n")


def system(name, domains, engine, plain, weights):
    folder = HERE / name
    folder.mkdir(parents=True, exist_ok=True)
    seed(folder, domains, engine, plain, weights)
    (folder / "names.sh").write_text(f"engine={engine}\nplain={plain}\n")
    for i in range(6):
        entry = f"e{i + 1}"
        roles = {"entry": {"callers": f"127.0.0.1:{7101 + i}", "control": CONTROL, "addresses_ttl_ms": 3000}}
        if i < 3:
            peers = [{"id": f"e{n + 1}", "inbox": a} for n, a in enumerate(CONTROL)]
            roles["control"] = {"data": f"run/{entry}.data", "peers": peers, "seed": f"examples/{name}/seed.bn"}
        process(folder, entry, domains[i % 3], 7001 + i, 7201 + i, **roles)
    for i in range(19):
        process(folder, f"g{i + 1}", domains[i % 3], 7301 + i, 7401 + i, agent={"entries": ENTRIES})


for name, values in SYSTEMS.items():
    system(name, *values)
