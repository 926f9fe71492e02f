"""Settings of a round, from a TOML file."""

import os
import pathlib

import msgspec


class SettingsError(ValueError):
    """A settings file is invalid; the message names the remedy."""


class Play(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Runs of one day of a site.

    Attributes:
      site: path of the site file.
      day: name of a standard day, or path of a custom day.
      seeds: seeds with one pair of runs each; 0 is the seed of the day.
    """

    site: str
    day: str
    seeds: tuple[int, ...] = (0,)


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a round.

    Attributes:
      why: hypothesis, recorded in the journal entry of each run.
      before: checkout without the change, outside of /tmp.
      no_cpu: exclude processor time from the score, so that runs are nearly reproducible.
      extra: prefix of the reason recorded with each run, such as "trial".
    """

    why: str
    before: str
    after: str
    play: tuple[Play, ...]
    at_once: int = 4
    no_cpu: bool = False
    extra: str = "trial"


def read(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    Raises:
      SettingsError: the file can't be read, or a value is invalid.
    """
    try:
        settings = msgspec.toml.decode(path.read_bytes(), type=Settings)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}. Remedy: name a readable file.") from error
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise SettingsError(f"{path}: {error}. Remedy: see bench/rounds/settings.py.") from error
    max_at_once = max(1, (os.cpu_count() or 2) // 2)
    if not 1 <= settings.at_once <= max_at_once:
        raise SettingsError(f"{path}: at_once must be 1 to {max_at_once}, half of the processors.")
    for tree in (settings.before, settings.after):
        if not (pathlib.Path(tree) / "deploy" / "system.toml").exists():
            raise SettingsError(f"{path}: {tree} is no checkout. Remedy: clone the repository.")
    return settings
