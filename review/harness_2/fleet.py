"""Starts gateways with the deploy file's run line, beside the project's stand-in platform."""

import asyncio
import contextlib
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "target" / "deps"))
sys.path.insert(0, str(ROOT / "platform"))
sys.path.insert(0, str(ROOT))

from okefenokee import standin  # noqa: E402

ROLE = "gateway"
SETTINGS_VARIABLE = "PLUMARCH_SETTINGS"
START_TIMEOUT_S = 15.0
BROKEN, HELD, NOT_RUN = 1, 0, 2
"""Exit codes of a script."""

SETTINGS = """
[node]
name = front-{number}
data_centre = {zone}
first_start = {first_start}
[regions]
data_centres = {zones}
[memory]
limit_mb = 300
[listen]
callers = 127.0.1.{number}:{port}
readiness = 127.0.2.{number}:{port}
peers = 127.0.3.{number}:{port}
metrics = 127.0.4.{number}:{port}
[peers]
seeds = 127.0.3.1:{port}, 127.0.3.2:{port}
[store]
address = {store}
[cloud]
address = {cloud}
duties = usage, scaling
[bounds]
stop_s = {stop_s}
retry_ratio = 0.2
retry_window_s = 10
retry_extra = 52
quota_window_s = 8
quota_overshoot = 0.1
quota_slack = 72000
usage_window_s = 5
usage_delay_s = 10
"""


def free_port() -> int:
    """Return a TCP port that is free on every loopback address."""
    with socket.socket() as found:
        found.bind(("", 0))
        return int(found.getsockname()[1])


class Record:
    """The script's record of what was sent, answered and run, with times in seconds."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        """Return seconds since the start."""
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        """Write a line with its time."""
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


class Fleet:
    """Gateways as separate processes, started as the deploy file says."""

    def __init__(
        self, record: Record, nodes: int, grace_s: float = 8.0, zones: tuple[str, ...] = ("a",)
    ) -> None:
        self.record = record
        self.nodes = nodes
        self.grace_s = grace_s
        self.zones = zones
        self.port = free_port()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.run_line = deploy["roles"][ROLE]["run"].split()
        self.platform = standin.Platform()

    async def start(self, config: dict, store: str = "") -> None:
        """Start the platform with a configuration, then all gateways.

        Args:
          store: another address to reach the store at.
        """
        await self.platform.start()
        await self.platform.put("config", "main", config)
        for number in range(1, self.nodes + 1):
            await self.launch(number, store)
        for number in range(1, self.nodes + 1):
            await self.wait_until_ready(number)

    def zone(self, number: int) -> str:
        """Return a gateway's zone."""
        return self.zones[(number - 1) % len(self.zones)]

    async def launch(self, number: int, store: str = "") -> None:
        """Start one gateway."""
        path = self.folder / f"front-{number}.ini"
        path.write_text(
            SETTINGS.format(
                number=number,
                first_start=str(number not in self.processes).lower(),
                zone=self.zone(number),
                zones=", ".join(f"{zone}:one" for zone in self.zones),
                port=self.port,
                store=store or self.platform.address,
                cloud=self.platform.address,
                stop_s=self.grace_s,
            )
        )
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment[SETTINGS_VARIABLE] = str(path)
        with (self.folder / f"front-{number}.log").open("ab") as log:
            self.processes[number] = await asyncio.create_subprocess_exec(
                *self.run_line, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"front-{number} started")

    async def wait_until_ready(self, number: int) -> None:
        """Wait until a gateway answers its readiness check with 200."""
        ends = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends:
            with contextlib.suppress(OSError, EOFError, IndexError):
                reader, writer = await asyncio.open_connection(f"127.0.2.{number}", self.port)
                writer.write(b"GET /plumarch/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if line.split()[1] == b"200":
                    self.record.write(f"front-{number} is ready")
                    return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"front-{number} did not become ready")

    def signal(self, number: int, which: signal.Signals) -> None:
        """Send a signal to a gateway."""
        self.record.write(f"{which.name} to front-{number}")
        self.processes[number].send_signal(which)

    async def end(self) -> None:
        """End all processes that were started."""
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            await process.wait()
        self.platform.stop()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)
