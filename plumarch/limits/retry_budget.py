"""Retries are paid for by first tries, so that they can't multiply an overload."""

import dataclasses

SHARE = 0.1
"""Retries allowed for each first try."""

SAVED_LIMIT = 20.0
"""Retries that a workspace can save up."""

START = 5.0
"""Retries that a workspace starts with."""


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """The retries that each workspace may still make."""

    saved: dict[str, float] = dataclasses.field(default_factory=dict)

    def first_try(self, workspace: str) -> None:
        """Earn a share of a retry."""
        saved = self.saved.get(workspace, START)
        self.saved[workspace] = min(SAVED_LIMIT, saved + SHARE)

    def take(self, workspace: str) -> bool:
        """Spend a retry.

        Returns:
          False if the workspace has none left.
        """
        saved = self.saved.get(workspace, START)
        if saved < 1.0:
            return False
        self.saved[workspace] = saved - 1.0
        return True
