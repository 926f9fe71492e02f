"""Computes the table of docs/CAPACITY.md from bench/slopes.json.

python -m bench.capacity          # prints the table
python -m bench.capacity --write  # replaces the table in the page
"""

import json
import pathlib
import sys

import tabulate

ROOT = pathlib.Path(__file__).parent
PAGE = ROOT.parent / "docs" / "CAPACITY.md"
BEGIN = "<!-- table: python -m bench.capacity --write -->"
END = "<!-- end of table -->"

# Target size of the system.
NODES = 450
WORKERS = 3_000
REQUESTS_S = 16_000
TOKENS_S = 4_600_000
REGIONS = 8
CENTRES = 21
CHANGES_DAY = 4_800
FAILED_DAY = 30
REPLACED_DAY = 340
DAY_S = 86_400

# Assumed mix of requests.
KEYED_SHARE = 0.02
WAITING_SHARE = 0.02
WORKSPACES = 500
BODY_BYTES = 2_000
KEY_RETENTION_S = 600

# Output of `make bench` (bench/relay.py): medians on 8 shared cores.
TOKEN_US = 126
TOKEN_US_4 = 60
LOOKUP_MS = 1.6
IDLE_CPU_PERCENT = 2.0
IDLE_MB = 73.1
STREAM_MB = 0.1
TOKEN_INTERVAL_S = 0.032

# Bytes of one conditional poll, request and response.
POLL_BYTES = 398
NOTICE_BYTES = 371
LOAD_BYTES = 393
LOADS_S = 2.0
VMS_S = 0.5
NOTICES_S = 1.0
SLOTS = 32
HEAD_BYTES = 70
TAKEOVER_WRITES = 2

LIMIT_CPU = 3.2
LIMIT_MB = 128
LIMIT_BYTES = 3_000
LIMIT_READS = 6_000
LIMIT_WRITES = 1_200
"""Calls a second that the store accepts."""

Row = tuple[str, str, str, str, str]


def slopes() -> dict[str, object]:
    """Return the measured slopes."""
    loaded: dict[str, object] = json.loads((ROOT / "slopes.json").read_text())
    return loaded


def fits(value: float, limit: float) -> str:
    """Format a value as a percentage of its limit, with a mark if it exceeds the limit."""
    return f"{value / limit:.0%} of {limit:g}" + ("" if value <= limit else ": DOES NOT FIT")


def rows(measured: dict[str, object]) -> list[Row]:
    """Return the table's rows: role, quantity, arithmetic, result, percentage of the limit."""
    return [
        *relay_rows(),
        *control_rows(measured),
        *memory_rows(measured),
        *platform_rows(),
        *configuration_rows(measured),
    ]


def relay_rows() -> list[Row]:
    """Return a node's cost of relaying tokens (data plane)."""
    tokens = TOKENS_S / NODES
    one = tokens * TOKEN_US / 1e6
    four = tokens * TOKEN_US_4 / 1e6
    streams = tokens * TOKEN_INTERVAL_S
    memory = IDLE_MB + streams * STREAM_MB
    return [
        (
            "relay",
            "cores, 1 token an event",
            f"{tokens:.0f} tokens/s x {TOKEN_US} us",
            f"{one:.2f}",
            fits(one, 1),
        ),
        (
            "relay",
            "cores, 4 tokens an event",
            f"{tokens:.0f} tokens/s x {TOKEN_US_4} us",
            f"{four:.2f}",
            fits(four, 1),
        ),
        (
            "relay",
            "memory, MB",
            f"{IDLE_MB} + {streams:.0f} streams x {STREAM_MB} MB",
            f"{memory:.0f}",
            fits(memory, LIMIT_MB),
        ),
    ]


def control_rows(measured: dict[str, object]) -> list[Row]:
    """Return a node's processor time and bytes for the control plane."""
    requests = REQUESTS_S / NODES
    keyed = requests * KEYED_SHARE
    placement_us = _at(measured, "placement us by endpoints", "375")
    claim = measured["claim"]
    assert isinstance(claim, dict)
    beats = _at(measured, "control bytes a node and second by nodes", "56")
    polls = LOADS_S * LOAD_BYTES + VMS_S * POLL_BYTES
    watching = NOTICES_S * NOTICE_BYTES + CHANGES_DAY / DAY_S * WORKSPACES * HEAD_BYTES
    claims = keyed * claim["bytes"]
    total = beats + polls + claims
    cpu = IDLE_CPU_PERCENT + requests * placement_us / 1e4 + keyed * claim["us"] / 1e4
    watcher = total + watching
    copies = requests * WAITING_SHARE
    copied = copies * (_at(measured, "copy", "bytes without body") + BODY_BYTES)
    return [
        (
            "entry node",
            "control, % of a core",
            f"{IDLE_CPU_PERCENT} at rest + {requests:.0f}/s x {placement_us:.0f} us placement"
            f" + {keyed:.2f}/s x {claim['us']:.0f} us claim",
            f"{cpu:.2f}",
            fits(cpu, LIMIT_CPU),
        ),
        (
            "entry node",
            "control, bytes/s",
            f"{beats:.0f} heartbeats + {polls:.0f} polls + {keyed:.2f} claims/s x"
            f" {claim['bytes']:.0f}",
            f"{total:.0f}",
            fits(total, LIMIT_BYTES),
        ),
        (
            "watcher (2 a data centre)",
            "control, bytes/s",
            f"{total:.0f} as above + {watching:.0f} notices and configuration head",
            f"{watcher:.0f}",
            fits(watcher, LIMIT_BYTES),
        ),
        (
            "slot owner",
            "claims, bytes/s if 1 request in 10 has a key",
            f"{requests / 10:.2f}/s x {claim['bytes']:.0f}",
            f"{requests / 10 * claim['bytes']:.0f}",
            fits(requests / 10 * claim["bytes"], LIMIT_BYTES),
        ),
        (
            "copy holder",
            "bytes/s received (requests' own data)",
            f"{copies:.2f}/s x ({BODY_BYTES} body + 346)",
            f"{copied:.0f}",
            "not control",
        ),
    ]


def memory_rows(measured: dict[str, object]) -> list[Row]:
    """Return a node's memory for control state."""
    requests = REQUESTS_S / NODES
    each = measured["memory bytes"]
    assert isinstance(each, dict)
    region_nodes = NODES / REGIONS
    records = requests * KEYED_SHARE * KEY_RETENTION_S * 2
    endpoints = WORKERS / REGIONS
    parts = {
        f"{records:.0f} key records": records * each["key record"],
        f"{endpoints:.0f} endpoints": endpoints * each["endpoint"],
        f"{region_nodes:.0f} members": region_nodes * each["member"],
        f"{WORKSPACES} workspaces": WORKSPACES * each["workspace"],
        "2000 copies": 2_000 * each["copy of a 2 kB request"],
    }
    total = IDLE_MB + sum(parts.values()) / 1e6
    return [
        (
            "entry node",
            "control, MB",
            f"{IDLE_MB} at rest + " + " + ".join(parts),
            f"{total:.1f}",
            fits(total, LIMIT_MB),
        ),
    ]


def platform_rows() -> list[Row]:
    """Return the load on the platform's API, in calls per second."""
    watches = CENTRES * 2 / 5
    reads = NODES * VMS_S + CENTRES * 2 * NOTICES_S + watches
    replaced = (FAILED_DAY + REPLACED_DAY) / DAY_S
    slots_each = SLOTS * REGIONS / NODES
    writes = replaced * slots_each * 2 * TAKEOVER_WRITES + CHANGES_DAY * 2 / DAY_S
    naive = REQUESTS_S * KEYED_SHARE
    vm_bytes = WORKERS / REGIONS * 250
    per_node = vm_bytes * (REPLACED_DAY + WORKERS * 0.4) / REGIONS / DAY_S
    return [
        (
            "platform",
            "reads/s",
            f"{NODES} nodes x {VMS_S} polls + {CENTRES * 2} watchers x {NOTICES_S + 0.2}",
            f"{reads:.0f}",
            fits(reads, LIMIT_READS),
        ),
        (
            "platform",
            "writes/s, slots and configuration",
            f"{replaced * DAY_S:.0f} replacements/day x {slots_each:.2f} slots x 4"
            f" + {CHANGES_DAY} changes x 2",
            f"{writes:.3f}",
            fits(writes, LIMIT_WRITES),
        ),
        (
            "platform",
            "writes/s if each keyed request were one write",
            f"{REQUESTS_S} x {KEYED_SHARE}",
            f"{naive:.0f}",
            fits(naive, LIMIT_WRITES),
        ),
        (
            "entry node",
            "bytes/s, VM list when it changes",
            f"{vm_bytes / 1000:.0f} kB x {(REPLACED_DAY + WORKERS * 0.4) / REGIONS:.0f}"
            " changes/day and region",
            f"{per_node:.0f}",
            fits(per_node, LIMIT_BYTES),
        ),
    ]


def configuration_rows(measured: dict[str, object]) -> list[Row]:
    """Return the cost of configuration changes."""
    by_nodes = measured["configuration by nodes"]
    change = measured["change us by workspaces"]
    assert isinstance(by_nodes, dict) and isinstance(change, dict)
    each = by_nodes["bytes"]["96"]
    rate = CHANGES_DAY / DAY_S
    head = WORKSPACES * HEAD_BYTES
    cpu = rate * change["by diff"]["500"] / 1e4
    cpu_rebuild = rate * change["rebuild all"]["500"] / 1e4
    return [
        (
            "configuration",
            "bytes/s a node, from peers",
            f"{rate:.4f} changes/s x {each:.0f}",
            f"{rate * each:.0f}",
            fits(rate * each, LIMIT_BYTES),
        ),
        (
            "configuration watcher",
            "bytes/s, head object",
            f"{rate:.4f} changes/s x {WORKSPACES} workspaces x {HEAD_BYTES}",
            f"{rate * head:.0f}",
            fits(rate * head, LIMIT_BYTES),
        ),
        (
            "configuration",
            "% of a core, by diff",
            f"{rate:.4f}/s x {change['by diff']['500']:.0f} us",
            f"{cpu:.3f}",
            fits(cpu, LIMIT_CPU),
        ),
        (
            "configuration",
            "% of a core, rebuilding all",
            f"{rate:.4f}/s x {change['rebuild all']['500']:.0f} us",
            f"{cpu_rebuild:.2f}",
            fits(cpu_rebuild, LIMIT_CPU),
        ),
    ]


def _at(measured: dict[str, object], name: str, point: str) -> float:
    values = measured[name]
    assert isinstance(values, dict)
    return float(values[point])


def table() -> str:
    """Return the table as Markdown."""
    heads = ("role", "what", "arithmetic", "result", "of its limit")
    return tabulate.tabulate(rows(slopes()), heads, tablefmt="github", disable_numparse=True)


def page_with_table(page: str) -> str:
    """Return a page with the table replaced between its markers."""
    start, _, rest = page.partition(BEGIN)
    _, _, end = rest.partition(END)
    return f"{start}{BEGIN}\n\n{table()}\n\n{END}{end}"


def main() -> None:
    """Print the table, or write it into the page with --write."""
    if "--write" in sys.argv:
        PAGE.write_text(page_with_table(PAGE.read_text()))
    else:
        print(table())


if __name__ == "__main__":
    main()
