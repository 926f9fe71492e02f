"""What every deciding part of a node is given: time, chance, its own name, and an outbox."""

import dataclasses
import random

from plumarch.core import clock, data, events, messages


@dataclasses.dataclass(slots=True)
class Context:
    """The surroundings of a node's decisions.

    Attributes:
      node: this node's identity, name and incarnation, as "name#incarnation".
      rng: the only source of chance; seeded by whoever builds the node.
      outbox: the actions decided since the shell last took them.
    """

    node: str
    data_centre: str
    clock: clock.Clock
    rng: random.Random
    outbox: list[events.Action] = dataclasses.field(default_factory=list)
    calls: int = 0

    def now(self) -> int:
        """Return the time in milliseconds."""
        return self.clock.now()

    def act(self, action: events.Action) -> None:
        """Decide an action."""
        self.outbox.append(action)

    def send(self, node: str, message: messages.AnyMessage) -> None:
        """Send a message to a node."""
        self.outbox.append(events.Send(node, message))

    def count(self, name: str, workspace: str = "", label: str = "", amount: float = 1) -> None:
        """Count something in the metrics."""
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
          request: the request it is about, or None.
          kind: one word for the kind of decision.
          choice: what was chosen.
          why: a short sentence with the reason.
          considered: what else was looked at.
          key: the key that the caller knows the request by, where no request is at hand.
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
        """Return a fresh number for a platform call."""
        self.calls += 1
        return self.calls


def name_of(node: str) -> str:
    """Return the configured name of a node identity."""
    return node.partition("#")[0]
