"""Dependencies shared by a node's components."""

import dataclasses
import random

from plumarch.core import clock, data, events, messages


@dataclasses.dataclass(slots=True)
class Context:
    """A node's identity, clock, random numbers and pending actions.

    Attributes:
      node: identity, "name#incarnation".
      rng: the only source of randomness, seeded by the caller.
      outbox: actions not yet collected by the shell.
    """

    node: str
    data_centre: str
    clock: clock.Clock
    rng: random.Random
    outbox: list[events.Action] = dataclasses.field(default_factory=list)
    calls: int = 0

    def now(self) -> int:
        """Return milliseconds."""
        return self.clock.now()

    def act(self, action: events.Action) -> None:
        """Queue an action."""
        self.outbox.append(action)

    def send(self, node: str, message: messages.AnyMessage) -> None:
        """Queue a message to a node."""
        self.outbox.append(events.Send(node, message))

    def count(self, name: str, workspace: str = "", label: str = "", amount: float = 1) -> None:
        """Increment a counter."""
        self.outbox.append(events.Count(name, workspace, label, amount))

    def note(
        self,
        request: data.Request | None,
        kind: str,
        choice: str,
        why: str,
        considered: tuple[data.Considered, ...] = (),
        key: str = "",
    ) -> None:
        """Record a decision.

        Args:
          kind: category, one word.
          why: one short sentence.
          key: idempotency key, if the request is not available.
        """
        request_id = request.id if request else ""
        workspace = request.workspace if request else ""
        decision = data.Decision(
            self.now(),
            self.node,
            request_id,
            workspace,
            kind,
            choice,
            why,
            considered,
            request.key if request else key,
        )
        self.outbox.append(events.Note(decision))

    def next_call(self) -> int:
        """Allocate the id of a platform call."""
        self.calls += 1
        return self.calls


def name_of(node: str) -> str:
    """Return the name in a node identity, without incarnation."""
    return node.partition("#")[0]
