"""Problems in settings and configuration files."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A problem in a file, with its remedy."""

    file: str
    line: int
    section: str
    key: str
    message: str
    remedy: str

    def text(self) -> str:
        """Format the problem as one line."""
        place = f"{self.file}:{self.line}" if self.line else self.file
        where = f" [{self.section}] {self.key}".rstrip() + ":" if self.section else ""
        return f"{place}:{where} {self.message} Remedy: {self.remedy}"
