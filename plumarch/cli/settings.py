"""The settings of the command-line tool: addresses of the platform and the nodes."""

import dataclasses
import os
import pathlib

from plumarch.config import ini
from plumarch.core import errors
from plumarch.daemon import settings as daemon_settings

VARIABLE = "PLUMARCH_SETTINGS"
DEFAULT = "plumarch.ini"


class NodesSection(ini.Section, frozen=True):
    """[nodes]: the operators' listeners of the entry nodes."""

    operators: daemon_settings.PeerAddresses


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of the tool."""

    platform: daemon_settings.PlatformSection
    token: str
    nodes: dict[str, str]


def load(path: str) -> Settings:
    """Read and validate the tool's settings.

    Args:
      path: the file; "" means the one in PLUMARCH_SETTINGS, or plumarch.ini.
    Raises:
      SettingsError: with all problems.
    """
    name = path or os.environ.get(VARIABLE, DEFAULT)
    try:
        text = pathlib.Path(name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f"{name} can't be read: {error}. Remedy: name the settings by --settings or {VARIABLE}."
        ) from error
    document = ini.parse(name, text)
    document.allow_sections({"platform", "operators", "nodes"})
    platform = document.section("platform", daemon_settings.PlatformSection)
    operators = document.section("operators", daemon_settings.OperatorsSection)
    nodes = document.section("nodes", NodesSection)
    if document.problems or platform is None or operators is None or nodes is None:
        raise errors.SettingsError("\n".join(problem.text() for problem in document.problems))
    return Settings(platform, operators.token, nodes.operators)
