"""The gateway's settings: an INI file, validated before anything starts."""

import dataclasses
from typing import Annotated

import msgspec

from plumarch.config import fields, ini
from plumarch.core import file_problems

USAGE = "usage"
SCALING = "scaling"


def _duties(text: str) -> tuple[str, ...]:
    duties = fields.split_list(text)
    unknown = sorted(set(duties) - {USAGE, SCALING})
    if unknown:
        raise ValueError(f"unknown duties {', '.join(unknown)}; known are {USAGE}, {SCALING}")
    return duties


Duties = Annotated[tuple[str, ...], fields.parsed_by(_duties)]


def _regions(text: str) -> dict[str, str]:
    found: dict[str, str] = {}
    for item in fields.split_list(text):
        data_centre, _, region = item.partition(":")
        if not data_centre.strip() or not region.strip():
            raise ValueError(f"{item!r} is not DATA CENTRE:REGION")
        if data_centre.strip() in found:
            raise ValueError(f"data centre {data_centre.strip()} is named twice")
        found[data_centre.strip()] = region.strip()
    return found


Regions = Annotated[dict[str, str], fields.parsed_by(_regions)]


class NodeSection(ini.Section, frozen=True):
    """[node]: the name, and whether the system starts for the first time."""

    name: fields.NonEmpty
    data_centre: fields.NonEmpty
    first_start: bool = False


class RegionsSection(ini.Section, frozen=True):
    """[regions]: DATA CENTRE:REGION, separated by commas.

    Without any, all data centres form one region.
    """

    data_centres: Regions = {}


class MemorySection(ini.Section, frozen=True):
    """[memory]: the process's limit, in MB of 2**20 bytes."""

    limit_mb: fields.Positive = 512.0


class ListenSection(ini.Section, frozen=True):
    """[listen]: addresses; peers is for TCP and UDP."""

    callers: fields.Address
    readiness: fields.Address
    peers: fields.Address
    metrics: fields.Address


class PeersSection(ini.Section, frozen=True):
    """[peers]: IP or IP:port of seed nodes; the port is ignored, all nodes use the same one."""

    seeds: fields.CommaSeparated = ()


class StoreSection(ini.Section, frozen=True):
    """[store]: the platform's store."""

    address: fields.Address


class CloudSection(ini.Section, frozen=True):
    """[cloud]: the platform's calls that one node makes; without an address there are none.

    The duties are "usage" (reports usage) and "scaling" (orders endpoints).
    """

    address: str = ""
    duties: Duties = ()


class BoundsSection(ini.Section, frozen=True):
    """[bounds]: the guarantees of the deployment; times in s."""

    stop_s: fields.Positive = 8.0
    retry_ratio: fields.NotNegative = 0.2
    retry_window_s: fields.Positive = 10.0
    retry_extra: fields.NotNegative = 20.0
    quota_window_s: fields.Positive = 8.0
    quota_overshoot: fields.NotNegative = 0.0
    quota_slack: fields.NotNegative = 0.0
    usage_window_s: fields.Positive = 5.0
    usage_delay_s: fields.Positive = 10.0


class RolloutsSection(ini.Section, frozen=True):
    """[rollouts]: the most requests that a bad version may get before it is rolled back.

    A fraction of the service's requests plus a fixed number; no fraction, no roll-outs.
    """

    exposure_share: fields.NotNegative = 0.0
    exposure_slack: fields.NotNegative = 0.0


class LogSection(ini.Section, frozen=True):
    """[log]: the maximum number of lines a second."""

    lines_per_s: Annotated[int, msgspec.Meta(gt=0)] = 500


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """All settings of one gateway."""

    node: NodeSection
    regions: RegionsSection
    memory: MemorySection
    listen: ListenSection
    peers: PeersSection
    store: StoreSection
    cloud: CloudSection
    bounds: BoundsSection
    rollouts: RolloutsSection
    log: LogSection


def load(path: str) -> GatewaySettings:
    """Read and validate a settings file.

    Raises:
      SettingsError: lists all problems, each with file, section, key and remedy.
    """
    return ini.load(path, read)


def read(file: str, text: str) -> tuple[GatewaySettings | None, list[file_problems.Problem]]:
    """Validate a settings text.

    Returns:
      The settings, or None if there are problems; and all problems.
    """
    document = ini.parse(file, text)
    document.allow_sections(
        {
            "node",
            "regions",
            "memory",
            "listen",
            "peers",
            "store",
            "cloud",
            "bounds",
            "rollouts",
            "log",
        }
    )
    node = document.section("node", NodeSection)
    regions = document.section("regions", RegionsSection, required=False)
    memory = document.section("memory", MemorySection, required=False)
    listen = document.section("listen", ListenSection)
    peers = document.section("peers", PeersSection, required=False)
    store = document.section("store", StoreSection)
    cloud = document.section("cloud", CloudSection, required=False)
    bounds = document.section("bounds", BoundsSection, required=False)
    rollouts = document.section("rollouts", RolloutsSection, required=False)
    log = document.section("log", LogSection, required=False)
    if document.problems:
        return None, document.problems
    assert node and regions and memory and listen and peers
    assert store and cloud and bounds and rollouts and log
    found = GatewaySettings(
        node, regions, memory, listen, peers, store, cloud, bounds, rollouts, log
    )
    return found, []
