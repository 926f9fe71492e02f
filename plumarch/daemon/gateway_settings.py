"""The gateway's settings: an INI file, validated whole before anything starts."""

import dataclasses
from typing import Annotated

import pydantic

from plumarch.config import ini
from plumarch.core import data
from plumarch.daemon import settings

USAGE = "usage"
SCALING = "scaling"

Words = Annotated[tuple[str, ...], pydantic.BeforeValidator(ini.words)]
Positive = Annotated[float, pydantic.Field(gt=0)]
NotNegative = Annotated[float, pydantic.Field(ge=0)]


def _duties(value: object) -> tuple[str, ...]:
    words = ini.words(value)
    unknown = sorted(set(words) - {USAGE, SCALING})
    if unknown:
        raise ValueError(f"unknown duties {', '.join(unknown)}; known are {USAGE}, {SCALING}")
    return words


Duties = Annotated[tuple[str, ...], pydantic.BeforeValidator(_duties)]


class NodeSection(ini.Section):
    """[node]: who this node is, and whether the whole system starts for the first time."""

    name: Annotated[str, pydantic.Field(min_length=1)]
    data_centre: Annotated[str, pydantic.Field(min_length=1)]
    first_start: bool = False


class ListenSection(ini.Section):
    """[listen]: where it listens; peers is used for TCP and UDP."""

    callers: settings.Address
    readiness: settings.Address
    peers: settings.Address
    metrics: settings.Address


class PeersSection(ini.Section):
    """[peers]: IP or IP:port of some nodes that may exist; all listen on the same port."""

    seeds: Words = ()


class StoreSection(ini.Section):
    """[store]: the platform's store."""

    address: settings.Address


class CloudSection(ini.Section):
    """[cloud]: the platform's calls of one node at a time; without an address there are none.

    The duties are "usage", to report it, and "scaling", to order endpoints.
    """

    address: str = ""
    duties: Duties = ()


class BoundsSection(ini.Section):
    """[bounds]: what the deployment promises; times in ms unless named otherwise."""

    stop_s: Positive = 8.0
    retry_ratio: NotNegative = 0.2
    retry_window_s: Positive = 10.0
    retry_extra: NotNegative = 20.0
    quota_window_s: Positive = 8.0
    quota_overshoot: NotNegative = 0.0
    quota_slack: NotNegative = 0.0
    usage_window_s: Positive = 5.0
    usage_delay_s: Positive = 10.0


class LogSection(ini.Section):
    """[log]: how many lines a second at most."""

    lines_per_s: Annotated[int, pydantic.Field(gt=0)] = 500


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """All settings of one gateway."""

    node: NodeSection
    listen: ListenSection
    peers: PeersSection
    store: StoreSection
    cloud: CloudSection
    bounds: BoundsSection
    log: LogSection


def load(path: str) -> GatewaySettings:
    """Read and validate a settings file.

    Raises:
      SettingsError: with all problems, each at its file, section and key, and a remedy.
    """
    return ini.load(path, read)


def read(file: str, text: str) -> tuple[GatewaySettings | None, list[data.Problem]]:
    """Validate a settings text.

    Returns:
      The settings, or None if there are problems; and all problems.
    """
    document = ini.parse(file, text)
    document.allow_sections({"node", "listen", "peers", "store", "cloud", "bounds", "log"})
    node = document.section("node", NodeSection)
    listen = document.section("listen", ListenSection)
    peers = document.section("peers", PeersSection, required=False)
    store = document.section("store", StoreSection)
    cloud = document.section("cloud", CloudSection, required=False)
    bounds = document.section("bounds", BoundsSection, required=False)
    log = document.section("log", LogSection, required=False)
    if document.problems:
        return None, document.problems
    assert node and listen and peers and store and cloud and bounds and log
    return GatewaySettings(node, listen, peers, store, cloud, bounds, log), []
