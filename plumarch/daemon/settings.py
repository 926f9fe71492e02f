"""The daemon's settings: an INI file, validated before anything starts."""

import dataclasses
from typing import Annotated

import msgspec

from plumarch.config import fields, ini
from plumarch.core import file_problems

MIN_KEY_LENGTH = 16


def _peers(text: str) -> dict[str, str]:
    peers = {}
    for item in fields.split_list(text):
        name, _, address = item.partition("=")
        if not name or not address:
            raise ValueError(f"{item!r} is not NAME=IP:port")
        peers[name.strip()] = fields.address(address.strip())
    return peers


def _url(value: str) -> str:
    if not value.startswith(("http://", "https://")):
        raise ValueError("must begin with http:// or https://")
    return value.rstrip("/")


PeerAddresses = Annotated[dict[str, str], fields.parsed_by(_peers)]
Url = Annotated[str, fields.parsed_by(_url)]


class NodeSection(ini.Section, frozen=True):
    """[node]: the node's name and data centre."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]*$")]
    data_centre: str


class ListenSection(ini.Section, frozen=True):
    """[listen]: addresses of the listeners; port 0 means any free port."""

    callers: fields.Address
    operators: fields.Address
    peers: fields.Address


class PlatformSection(ini.Section, frozen=True):
    """[platform]: the platform's API."""

    url: Url
    token: str = ""


class PeersSection(ini.Section, frozen=True):
    """[peers]: the other entry nodes, and the shared key."""

    key: Annotated[str, msgspec.Meta(min_length=MIN_KEY_LENGTH)]
    nodes: PeerAddresses = {}


class OperatorsSection(ini.Section, frozen=True):
    """[operators]: the token of operators' calls."""

    token: Annotated[str, msgspec.Meta(min_length=MIN_KEY_LENGTH)]


class LimitsSection(ini.Section, frozen=True):
    """[limits]: sizes and times for callers."""

    body_bytes: Annotated[int, msgspec.Meta(gt=0, le=64 * 1024 * 1024)] = 1024 * 1024
    coalesce_ms: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0
    stop_s: Annotated[int, msgspec.Meta(ge=0, le=3600)] = 30


class LogSection(ini.Section, frozen=True):
    """[log]: level and format of the log."""

    level: Annotated[str, msgspec.Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
    json_lines: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon."""

    node: NodeSection
    listen: ListenSection
    platform: PlatformSection
    peers: PeersSection
    operators: OperatorsSection
    limits: LimitsSection
    log: LogSection


def load(path: str) -> Settings:
    """Read and validate a settings file.

    Raises:
      SettingsError: lists all problems, each with file, section, key and remedy.
    """
    return ini.load(path, read)


def read(file: str, text: str) -> tuple[Settings | None, list[file_problems.Problem]]:
    """Validate a settings text.

    Returns:
      The settings, or None if there are problems; and all problems.
    """
    document = ini.parse(file, text)
    document.allow_sections({"node", "listen", "platform", "peers", "operators", "limits", "log"})
    node = document.section("node", NodeSection)
    listen = document.section("listen", ListenSection)
    platform = document.section("platform", PlatformSection)
    peers = document.section("peers", PeersSection)
    operators = document.section("operators", OperatorsSection)
    limits = document.section("limits", LimitsSection, required=False)
    log = document.section("log", LogSection, required=False)
    if document.problems:
        return None, document.problems
    assert node and listen and platform and peers and operators and limits and log
    return Settings(node, listen, platform, peers, operators, limits, log), []
