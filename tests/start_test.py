"""Start of the gateway: modules that it imports, and binding before the settings are valid."""

import pathlib
import socket
import subprocess
import sys

import pytest

from plumarch.core import errors
from plumarch.daemon import listening

ROOT = pathlib.Path(__file__).resolve().parent.parent
SETTINGS = """
[node]
name = a
data_centre = z
[listen]
callers = 127.0.0.1:{port}
readiness = 127.0.0.1:2
peers = 127.0.0.1:3
metrics = 127.0.0.1:4
[store]
address = 127.0.0.1:5
"""
FORBIDDEN_MODULES = (
    "aiohttp",
    "fire",
    "httpx",
    "litestar",
    "loguru",
    "prometheus_client",
    "pydantic",
    "tabulate",
    "uvicorn",
    "plumarch.core.data",
    "plumarch.core.events",
    "plumarch.daemon.settings",
    "plumarch.node",
    "plumarch.recovery",
)
PRINT_MODULES = """
import sys
sys.path[:0] = ["platform", "."]
import start
from okefenokee import cloud, store, words
from plumarch.daemon import gateway, gateway_settings
print("\\n".join(sys.modules))
"""


def test_gateway_does_not_import_modules_of_the_native_interface():
    found = subprocess.run(
        [sys.executable, "-c", PRINT_MODULES], cwd=ROOT, capture_output=True, text=True, check=True
    )
    imported = set(found.stdout.split())
    assert "plumarch.daemon.gateway" in imported
    assert not imported & set(FORBIDDEN_MODULES)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def test_callers_can_connect_before_settings_are_validated(tmp_path: pathlib.Path):
    path = tmp_path / "gateway.ini"
    port = free_port()
    path.write_text(SETTINGS.format(port=port))
    listener = listening.bind_first(str(path), "listen", "callers")
    assert listener is not None
    with listener, socket.create_connection(("127.0.0.1", port), timeout=5):
        pass


def test_early_bind_ignores_settings_without_an_address(tmp_path: pathlib.Path):
    path = tmp_path / "gateway.ini"
    for text in ("", "[listen]\n", "no section", "[listen]\ncallers = nowhere\n"):
        path.write_text(text)
        assert listening.bind_first(str(path), "listen", "callers") is None
    assert listening.bind_first(str(tmp_path / "missing"), "listen", "callers") is None


def test_early_bind_ignores_an_address_in_use(tmp_path: pathlib.Path):
    path = tmp_path / "gateway.ini"
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1]
        path.write_text(SETTINGS.format(port=port))
        assert listening.bind_first(str(path), "listen", "callers") is None
        with pytest.raises(errors.SettingsError, match="choose another port"):
            listening.bind(f"127.0.0.1:{port}")


HANG_UP_WHILE_STARTING = """
import os, signal, sys
sys.path[:0] = ["platform", "."]
import start
from plumarch.daemon import listening
listening.bind_first = lambda *_: os.kill(os.getpid(), signal.SIGHUP)
sys.argv = ["start.py", sys.argv[1]]
start.main()
"""


def test_a_reload_while_the_gateway_starts_does_not_end_it(tmp_path: pathlib.Path):
    found = subprocess.run(
        [sys.executable, "-c", HANG_UP_WHILE_STARTING, str(tmp_path / "absent.ini")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert found.returncode == 2, found.stderr
