"""Bounds retries by a ratio of first tries, so that they cannot multiply an overload."""

import dataclasses

RETRIES_PER_REQUEST = 0.1
"""Retries earned by each first try."""

MAX_SAVED = 20.0
"""Maximum retries that a workspace saves."""

INITIAL_RETRIES = 5.0
"""Retries that a workspace starts with."""


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """The retries that each workspace may still make."""

    saved: dict[str, float] = dataclasses.field(default_factory=dict)

    def first_try(self, workspace: str) -> None:
        """Earn a fraction of a retry."""
        saved = self.saved.get(workspace, INITIAL_RETRIES)
        self.saved[workspace] = min(MAX_SAVED, saved + RETRIES_PER_REQUEST)

    def take(self, workspace: str) -> bool:
        """Spend a retry.

        Returns:
          False if the workspace has none left.
        """
        saved = self.saved.get(workspace, INITIAL_RETRIES)
        if saved < 1.0:
            return False
        self.saved[workspace] = saved - 1.0
        return True
