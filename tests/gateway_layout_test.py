"""The gateway's packages know each other one way only, so that each can be read by itself."""

import pathlib
import re

import plumarch

GATEWAY = pathlib.Path(plumarch.__file__).parent / "gateway"
IMPORTED = re.compile(r"^from plumarch\.gateway\.(\w+) import", re.MULTILINE)
KNOWS = {
    "connections": set(),
    "callers": {"connections"},
    "gossip": set(),
    "store": {"gossip"},
    "dispatch": {"callers", "connections", "gossip"},
    "duties": {"gossip", "store"},
}
"""Which other packages each may import; all may import what the gateway's parts share."""


def test_packages_of_the_gateway_import_one_way():
    found = {
        package: {
            name
            for path in (GATEWAY / package).glob("*.py")
            if not path.name.endswith("_test.py")
            for name in IMPORTED.findall(path.read_text(encoding="utf-8"))
        }
        - {package}
        for package in KNOWS
    }
    assert found == KNOWS


def test_each_package_of_the_gateway_is_listed():
    packages = {path.name for path in GATEWAY.iterdir() if (path / "__init__.py").is_file()}
    assert packages == set(KNOWS)
