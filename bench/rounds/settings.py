"""What a round plays: a TOML file, checked as it is read."""

import os
import pathlib

import msgspec


class SettingsFault(ValueError):
    """A settings file that can't be used; the message names the remedy."""


class Play(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A day of a site, with several seeds.

    Attributes:
      site: path of the site file.
      day: a standard day's name, or the path of a day of one's own.
      seeds: one pair of runs for each; 0 is the day's own seed.
    """

    site: str
    day: str
    seeds: tuple[int, ...] = (0,)


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A round.

    Attributes:
      why: the hypothesis; each run's journal entry says it.
      before: the tree without the change, a checkout outside of /tmp.
      after: the tree with it.
      at_once: runs at the same time.
      no_cpu: leave processor time out, so that runs nearly repeat.
      extra: further words for each run's reason, such as "trial".
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
      SettingsFault: it can't be read, or a value is out of bounds.
    """
    try:
        found = msgspec.toml.decode(path.read_bytes(), type=Settings)
    except OSError as error:
        raise SettingsFault(f"{path}: {error.strerror}. Remedy: name a readable file.") from error
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise SettingsFault(f"{path}: {error}. Remedy: see bench/rounds/settings.py.") from error
    most = max(1, (os.cpu_count() or 2) // 2)
    if not 1 <= found.at_once <= most:
        raise SettingsFault(f"{path}: at_once must be 1 to {most}, half of the processors.")
    for tree in (found.before, found.after):
        if not (pathlib.Path(tree) / "deploy" / "system.toml").exists():
            raise SettingsFault(f"{path}: {tree} is no checkout. Remedy: clone the repository.")
    return found
