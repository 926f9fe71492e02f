"""How many bytes a node holds on behalf of callers and endpoints, and how many it may.

What callers or endpoints are slow to read stays here until they do. The account says who holds
how much for what purpose, so that a node ends a few of them instead of running out of memory
with all of its requests.
"""

import dataclasses
import enum

BUDGET_SHARE = 0.6
"""Part of the process's limit that is held for requests at most. The rest is the interpreter with
its code (some 20 MB), tables, logs, and garbage that is not collected yet."""

BYTES_PER_MB = 2**20


class Purpose(enum.Enum):
    """What bytes are held for."""

    REQUEST_BODIES = "request_bodies"
    UNREAD_ANSWERS = "unread_answers"
    UNSENT_REQUESTS = "unsent_requests"


@dataclasses.dataclass(slots=True)
class MemoryAccount:
    """Bytes held, by purpose.

    Attributes:
      budget: the most bytes that may be held.
    """

    budget: int
    held: dict[Purpose, int] = dataclasses.field(default_factory=lambda: dict.fromkeys(Purpose, 0))

    def total(self) -> int:
        """Return the bytes held for all purposes."""
        return sum(self.held.values())

    def hold(self, purpose: Purpose, size: int) -> None:
        """Count bytes as held."""
        self.held[purpose] += size

    def release(self, purpose: Purpose, size: int) -> None:
        """Count bytes as given back."""
        self.held[purpose] = max(0, self.held[purpose] - size)

    def has_room(self, size: int) -> bool:
        """Return whether so many bytes more may be held."""
        return self.total() + size <= self.budget


def of_limit(limit_mb: float) -> MemoryAccount:
    """Return the account of a process.

    Args:
      limit_mb: the memory that the process may take.
    """
    return MemoryAccount(round(BUDGET_SHARE * limit_mb * BYTES_PER_MB))
