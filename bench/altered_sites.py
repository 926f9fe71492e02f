"""Writes variants of a site file: python -m bench.altered_sites SITE.toml FOLDER.

The variants differ in VMs, data centres, limits, workspaces and rates.
"""

import pathlib
import re
import shutil
import sys
from collections.abc import Callable

COMPANION_FILES = ("wire.json", "CUT")
Alteration = Callable[[str], str]


def scale_field(name: str, factor: float, least: float = 0) -> Alteration:
    """Return an alteration that multiplies each occurrence of a numeric field."""

    def alter(text: str) -> str:
        def replace(found: re.Match[str]) -> str:
            value = max(least, float(found[2]) * factor)
            shown = f"{value:.6g}" if "." in found[2] else str(round(value))
            return f"{found[1]}{shown}"

        return re.sub(rf"(\b{name} = )([0-9.]+)", replace, text)

    return alter


def set_field(name: str, value: str) -> Alteration:
    """Return an alteration that sets each occurrence of a field."""
    return lambda text: re.sub(rf"(\b{name} = )[0-9.]+", rf"\g<1>{value}", text)


def for_vms(alteration: Alteration) -> Alteration:
    """Return an alteration that is limited to lines that define VMs."""

    def alter(text: str) -> str:
        lines = text.split("\n")
        return "\n".join(alteration(one) if 'class = "front"' in one else one for one in lines)

    return alter


def centre_names(text: str) -> list[str]:
    """Return the names of a site's data centres, in file order."""
    return re.findall(r'\{ name = "([^"]+)", region = ', text)


def without_last_centre(text: str) -> str:
    """Return the site without its last data centre, whose faults move to the one before it."""
    *_, before, last = centre_names(text)
    text = re.sub(rf',? ?\{{ zone = "{last}", count = \d+ \}}', "", text)
    own_lines = (f'{{ name = "{last}"', f'{{ zone = "{last}", mix')
    kept = []
    for line in text.split("\n"):
        is_vm = "class = " in line and f'zone = "{last}"' in line
        if not is_vm and not line.strip().startswith(own_lines):
            kept.append(line)
    return "\n".join(kept).replace(f'zone = "{last}"', f'zone = "{before}"')


def with_extra_centre(text: str) -> str:
    """Return the site with a copy of its last data centre added."""
    last = centre_names(text)[-1]
    more = f"{last}-more"
    text = re.sub(rf'(\{{ zone = )"{last}"(, count = \d+ \}})', rf'\g<0>, \1"{more}"\2', text)
    lines = []
    for line in text.split("\n"):
        lines.append(line)
        is_vm = "class = " in line and f'zone = "{last}"' in line
        starts = (f'{{ name = "{last}"', f'{{ zone = "{last}", mix')
        if is_vm or line.strip().startswith(starts):
            lines.append(line.replace(f'"{last}"', f'"{more}"'))
    return "\n".join(lines)


VARIANTS: dict[str, tuple[Alteration, ...]] = {
    "one-machine-a-zone": (
        for_vms(set_field("count", "1")),
        for_vms(set_field("spare", "0")),
    ),
    "twice-the-machines": (for_vms(scale_field("count", 2)),),
    "third-of-the-machines": (
        for_vms(scale_field("count", 0.34, 1)),
        for_vms(scale_field("spare", 0.34)),
    ),
    "two-zones": (without_last_centre,),
    "four-zones": (with_extra_centre,),
    "other-bounds": (
        set_field("config_ms", "3000"),
        set_field("drain_ms", "3000"),
        set_field("grace_s", "6.0"),
        set_field("budget_slack", "24.0"),
        set_field("quota_window_s", "10.0"),
        set_field("quota_slack", "40000.0"),
        set_field("beat_ms", "900"),
    ),
    "more-tenants": (
        set_field("quota_x", "1.3"),
        lambda text: text.replace("[tenants]\ncount = 5", "[tenants]\ncount = 12"),
    ),
    "more-traffic": (scale_field("per_s", 1.4),),
    "engines-without-reserve": (scale_field("boot_s", 2.0), scale_field("spot_price", 3.0)),
}


def main() -> None:
    """Write all variants of a site, with the files that a site needs beside it."""
    site, folder = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    for name in COMPANION_FILES:
        target = folder / name
        if not target.exists():
            shutil.copyfile(site.parent / name, target)
    text = site.read_text()
    for variant, alterations in VARIANTS.items():
        altered = text
        for alteration in alterations:
            altered = alteration(altered)
        (folder / f"{site.stem}-{variant}.toml").write_text(altered)


if __name__ == "__main__":
    main()
