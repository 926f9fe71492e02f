"""Starts gateways with the commands of the deploy file, each on a loopback address of its own."""

import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from typing import Any

from standins import template

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
METRICS_PORT = 9464
INTERNAL_PORT = 7600
ZONES = {"zone-a": "region", "zone-b": "region", "zone-c": "region"}
BOUNDS: dict[str, Any] = {
    "drain_ms": 2000,
    "grace_period_s": 8,
    "configuration_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_extra": 52,
    "quota_window_s": 8,
    "quota_overshoot": 0.1,
    "quota_slack": 72000,
    "usage_window_s": 5,
    "usage_delay_s": 10,
    "recovery_s": 12,
}
"""Bounds of the small site files."""


def free_net() -> str:
    """Return the first three numbers of loopback addresses on which all ports needed are free."""
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in (METRICS_PORT, INTERNAL_PORT):
                with socket.socket() as one:
                    one.bind((f"{net}.1", port))
        except OSError:
            continue
        return net
    raise RuntimeError("no free loopback addresses")


def free_port(host: str) -> int:
    """Return a free port of a host."""
    with socket.socket() as one:
        one.bind((host, 0))
        return int(one.getsockname()[1])


class Fleet:
    """The gateways of a small deployment.

    Attributes:
      fronts: callers' addresses, by node number.
    """

    def __init__(self, nodes: int, net: str, store: str, cloud: str) -> None:
        self.net = net
        self.store = store
        self.cloud = cloud
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["gateway"]
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.starts = 0
        hosts = {number: f"{net}.{number}" for number in range(1, nodes + 1)}
        self.fronts = {number: f"{host}:{free_port(host)}" for number, host in hosts.items()}
        self.readiness = {number: f"{host}:{free_port(host)}" for number, host in hosts.items()}

    def _settings(self, number: int) -> dict[str, Any]:
        zones = list(ZONES)
        zone = zones[number % len(zones)]
        control = f"{self.net}.{number}:{INTERNAL_PORT + 1}"
        return {
            "node_name": f"front-{zone}-{number}",
            "role": "gateway",
            "machine_class": "front",
            "ip_address": f"{self.net}.{number}",
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen_addresses": {
                "front": self.fronts[number],
                "readiness": self.readiness[number],
                "control": control,
            },
            "internal_port_range": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "seed_nodes": [f"{self.net}.{one}:{INTERNAL_PORT + 1}" for one in sorted(self.fronts)][
                :3
            ],
            "bootstrap": self.starts <= len(self.fronts),
            "limits": {"memory_mb": 300},
            "bounds": BOUNDS,
            "platform": {"address": self.store},
            "cloud": {"address": self.cloud, "duties": ["usage", "scaling"]},
        }

    def start(self, number: int) -> None:
        """Start a gateway with the role's run line."""
        self.starts += 1
        path = self.folder / f"node-{number}.ini"
        source = (ROOT / self.role["template"]).read_text(encoding="utf-8")
        path.write_text(template.fill(source, self._settings(number)), encoding="utf-8")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PLUMARCH_SETTINGS": str(path),
        }
        with (self.folder / f"node-{number}.log").open("ab") as log:
            self.processes[number] = subprocess.Popen(
                self.role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def start_all(self) -> None:
        """Start all gateways."""
        for number in self.fronts:
            self.start(number)

    def kill_all(self) -> None:
        """Kill all gateways."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()

    def end(self) -> None:
        """Kill all gateways and remove the temporary folder."""
        self.kill_all()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)
