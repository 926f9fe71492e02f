"""Runs a deployment as real processes on loopback, for tests and benchmarks."""

import dataclasses
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any

import httpx

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PEER_KEY = "a-peer-key-for-tests"
OPERATOR_TOKEN = "an-operator-token-for-tests"
START_S = 20.0
PORTS_START = 15_000
PORTS_END = 32_000
NODES = {"hall-a-1": "hall-a", "hall-b-1": "hall-b", "hall-c-1": "hall-c"}


def _ports() -> Iterator[int]:
    """Yield each port below the ephemeral range once."""
    span = PORTS_END - PORTS_START
    first = os.getpid() * 97 % span
    for number in range(span):
        yield PORTS_START + (first + number) % span


PORTS = _ports()


def free_port() -> int:
    """Return a free port that was not returned before."""
    for port in PORTS:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no free port")


@dataclasses.dataclass
class NodeProcess:
    """A plumarchd process and its ports."""

    name: str
    data_centre: str
    callers: int
    operators: int
    peers: int
    process: subprocess.Popen[bytes] | None = None


class System:
    """A platform, endpoints and entry nodes, each in its own process."""

    def __init__(self, folder: pathlib.Path, nodes: dict[str, str] | None = None) -> None:
        self.folder = folder
        self.processes: list[subprocess.Popen[bytes]] = []
        self.platform_port = free_port()
        self.nodes = {
            name: NodeProcess(name, centre, free_port(), free_port(), free_port())
            for name, centre in (nodes or NODES).items()
        }
        self.service_ms = 5.0
        self.engine_options: tuple[str, ...] = ()
        self.coalesce_ms = 0
        self.listed_capacity = 8
        self.endpoint_processes: dict[str, subprocess.Popen[bytes]] = {}
        self.engines: dict[str, int] = {}
        self.services: dict[str, int] = {}

    def spawn(self, *words: str) -> subprocess.Popen[bytes]:
        """Start a Python process that logs to a file in the folder."""
        out = (self.folder / f"process-{len(self.processes)}.log").open("wb")
        process = subprocess.Popen(
            [sys.executable, *words], stdout=out, stderr=subprocess.STDOUT, cwd=ROOT
        )
        self.processes.append(process)
        return process

    def start(self, token_ms: float = 10.0) -> None:
        """Start all processes and wait until the nodes are ready and joined."""
        self.spawn("-m", "plumarch.standins.main", "platform", f"127.0.0.1:{self.platform_port}")
        for centre in sorted({node.data_centre for node in self.nodes.values()}):
            self._start_endpoints(centre, token_ms)
        self._wait_for(lambda: self.platform("GET", "/vms").status_code == 200)
        self.platform("POST", "/control/vms", json={"add": self._vms()})
        self.apply("examples/okefenokee")
        for node in self.nodes.values():
            self.start_node(node.name)
        for node in self.nodes.values():
            self.wait_ready(node.name)
        self._wait_for(self._nodes_joined)

    def _start_endpoints(self, centre: str, token_ms: float) -> None:
        port = free_port()
        self.engines[f"{centre}-engine"] = port
        address = f"127.0.0.1:{port}"
        main = ("-m", "plumarch.standins.main")
        self.endpoint_processes[f"{centre}-engine"] = self.spawn(
            *main,
            "engine",
            address,
            "firmware-writer",
            f"--token_ms={token_ms}",
            *self.engine_options,
        )
        port = free_port()
        self.services[f"{centre}-queue"] = port
        delay = f"--delay_ms={self.service_ms}"
        self.endpoint_processes[f"{centre}-queue"] = self.spawn(
            *main, "service", f"127.0.0.1:{port}", delay
        )

    def _vms(self) -> list[dict[str, object]]:
        vms: list[dict[str, object]] = []
        roles = (
            ("engine", self.engines, "firmware-writer"),
            ("service", self.services, "queue-api"),
        )
        for role, ports, target in roles:
            for name, port in ports.items():
                vms.append(
                    {
                        "name": name,
                        "data_centre": name.rpartition("-")[0],
                        "role": role,
                        "address": f"http://127.0.0.1:{port}",
                        "targets": [target],
                        "capacity": self.listed_capacity,
                    }
                )
        return vms

    def platform(self, method: str, path: str, json: object = None) -> httpx.Response:
        """Send a request to the stand-in platform."""
        url = f"http://127.0.0.1:{self.platform_port}{path}"
        return httpx.request(method, url, timeout=5, json=json)

    def settings_of(self, node: NodeProcess) -> pathlib.Path:
        """Write a node's settings file."""
        others = ", ".join(
            f"{n.name}=127.0.0.1:{n.peers}" for n in self.nodes.values() if n is not node
        )
        path = self.folder / f"{node.name}.ini"
        path.write_text(
            f"""
[node]
name = {node.name}
data_centre = {node.data_centre}
[listen]
callers = 127.0.0.1:{node.callers}
operators = 127.0.0.1:{node.operators}
peers = 127.0.0.1:{node.peers}
[platform]
url = http://127.0.0.1:{self.platform_port}
[peers]
key = {PEER_KEY}
nodes = {others}
[operators]
token = {OPERATOR_TOKEN}
[limits]
coalesce_ms = {self.coalesce_ms}
"""
        )
        return path

    def process(self, name: str) -> subprocess.Popen[bytes]:
        """Return a node's process."""
        process = self.nodes[name].process
        assert process is not None
        return process

    def start_node(self, name: str) -> None:
        """Start a node's daemon."""
        node = self.nodes[name]
        node.process = self.spawn("-m", "plumarch.daemon.main", str(self.settings_of(node)))

    def wait_ready(self, name: str) -> None:
        """Wait for the readiness check of a node."""
        url = f"http://127.0.0.1:{self.nodes[name].operators}/readyz"
        self._wait_for(lambda: httpx.get(url, timeout=2).status_code == 200)

    def status(self, name: str) -> dict[str, Any]:
        """Return a node's status."""
        url = f"http://127.0.0.1:{self.nodes[name].operators}/status"
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        found: dict[str, Any] = httpx.get(url, headers=headers, timeout=2).json()
        return found

    def _nodes_joined(self) -> bool:
        """Return whether all slots have owners and each node knows all others."""
        found = [self.status(name) for name in self.nodes]
        slots = sum(int(status["slots"]) for status in found)
        all_joined = all(len(status["members"]) == len(self.nodes) - 1 for status in found)
        return slots == 32 and all_joined

    def _wait_for(self, done: Callable[[], bool]) -> None:
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            try:
                if done():
                    return
            except httpx.HTTPError:
                pass
            time.sleep(0.05)
        logs = "\n".join(p.read_text() for p in sorted(self.folder.glob("process-*.log")))
        raise AssertionError(f"the system did not start in time:\n{logs[-4000:]}")

    def tool_settings(self) -> pathlib.Path:
        """Write the settings file of the plumarch command."""
        nodes = ", ".join(f"{n.name}=127.0.0.1:{n.operators}" for n in self.nodes.values())
        path = self.folder / "plumarch.ini"
        path.write_text(
            f"[platform]\nurl = http://127.0.0.1:{self.platform_port}\n"
            f"[operators]\ntoken = {OPERATOR_TOKEN}\n[nodes]\noperators = {nodes}\n"
        )
        return path

    def tool(self, *words: str) -> subprocess.CompletedProcess[str]:
        """Run the plumarch command."""
        settings = str(self.tool_settings())
        return subprocess.run(
            [sys.executable, "-m", "plumarch.cli.main", "--settings", settings, *words],
            capture_output=True,
            text=True,
            timeout=60,
            cwd=ROOT,
            check=False,
        )

    def apply(self, *paths: str) -> None:
        """Apply configuration files."""
        done = self.tool("apply", *paths)
        assert done.returncode == 0, done.stdout + done.stderr

    def url(self, name: str) -> str:
        """Return the base URL of a node's callers' listener."""
        return f"http://127.0.0.1:{self.nodes[name].callers}"

    def executions(self) -> dict[str, int]:
        """Return executions by workspace and key, summed over the running services."""
        total: dict[str, int] = {}
        for name, port in self.services.items():
            if self.endpoint_processes[name].poll() is not None:
                continue
            found = httpx.get(f"http://127.0.0.1:{port}/executions", timeout=5).json()
            for name, count in found.items():
                total[name] = total.get(name, 0) + count
        return total

    def stop(self) -> None:
        """Kill all started processes."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait(timeout=10)
