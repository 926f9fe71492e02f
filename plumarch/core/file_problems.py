"""Faults found in settings and configuration files."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One fault found in a file, with its place and remedy."""

    file: str
    line: int
    section: str
    key: str
    message: str
    remedy: str

    def text(self) -> str:
        """Return the problem as one line for people."""
        place = f"{self.file}:{self.line}" if self.line else self.file
        where = f" [{self.section}] {self.key}".rstrip() + ":" if self.section else ""
        return f"{place}:{where} {self.message} Remedy: {self.remedy}"
