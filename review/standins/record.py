"""The record of what was sent, answered and run."""

import json
import pathlib
import time
from typing import Any


class Record:
    """Writes one JSON object a line, with the time in s since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, kind: str, **fields: Any) -> None:
        """Write a line."""
        line = {"at_s": round(time.monotonic() - self.began, 3), "kind": kind, **fields}
        self.file.write(json.dumps(line) + "\n")

    def close(self) -> None:
        """Close the file."""
        self.file.close()
