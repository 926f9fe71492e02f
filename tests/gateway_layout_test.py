"""Packages of the gateway have no cyclic imports."""

import pathlib
import re

import plumarch

GATEWAY = pathlib.Path(plumarch.__file__).parent / "gateway"
IMPORT = re.compile(r"^from plumarch\.gateway\.(\w+) import", re.MULTILINE)
ALLOWED_IMPORTS = {
    "connections": set(),
    "callers": {"connections"},
    "gossip": {"connections"},
    "store": {"gossip"},
    "dispatch": {"callers", "connections", "gossip"},
    "duties": {"gossip", "store"},
}
"""Packages that each package may import; modules directly in gateway/ are open to all."""


def test_packages_import_only_allowed_packages():
    found = {
        package: {
            name
            for path in (GATEWAY / package).glob("*.py")
            if not path.name.endswith("_test.py")
            for name in IMPORT.findall(path.read_text(encoding="utf-8"))
        }
        - {package}
        for package in ALLOWED_IMPORTS
    }
    assert found == ALLOWED_IMPORTS


def test_every_package_of_the_gateway_is_listed():
    packages = {path.name for path in GATEWAY.iterdir() if (path / "__init__.py").is_file()}
    assert packages == set(ALLOWED_IMPORTS)
