"""A node's view of which others are alive.

It only decides when nodes act; the rules in plumarch.recovery hold even if it is wrong.
"""

import dataclasses

from plumarch.core import context, data, messages

HEARTBEAT_MS = 500
"""Minimum time between heartbeats; changes are sent at once."""

HEARTBEAT_BYTES = 80
HEARTBEAT_BYTES_PER_S = 1_500
"""Maximum bandwidth of a node's heartbeats; the interval grows with the peers."""

SUSPECT_INTERVALS = 3
GONE_INTERVALS = 5
RETENTION_MS = 600_000


@dataclasses.dataclass(slots=True)
class Member:
    """Another node's incarnation.

    Attributes:
      last_seen_ms: -1 if the platform confirmed that it is gone.
    """

    node: str
    data_centre: str
    state: data.NodeState
    last_seen_ms: int
    address: str = ""
    revision: int = 0
    demand: tuple[tuple[str, int, int], ...] = ()


def interval_ms(peers: int) -> int:
    """Return the heartbeat interval."""
    afforded = peers * HEARTBEAT_BYTES * 1_000 // HEARTBEAT_BYTES_PER_S
    return max(HEARTBEAT_MS, afforded)


class Membership:
    """A region's other nodes, by node and incarnation."""

    def __init__(self, ctx: context.Context) -> None:
        self.ctx = ctx
        self.members: dict[str, Member] = {}
        self.leaving = False
        self.heartbeat_interval_ms = HEARTBEAT_MS

    def apply_heartbeat(self, sender: str, heartbeat: messages.Heartbeat) -> bool:
        """Apply a heartbeat; return whether the sender became live.

        A new incarnation replaces the earlier one at once; its stale heartbeats are ignored.
        """
        if self._superseded(sender):
            return False
        known = self.members.get(sender)
        if known is not None and known.state is data.NodeState.GONE and known.last_seen_ms < 0:
            return False
        was_live = known is not None and known.state is data.NodeState.LIVE
        self.members[sender] = Member(
            sender,
            heartbeat.data_centre,
            heartbeat.state,
            self.ctx.now(),
            heartbeat.address,
            heartbeat.revision,
            tuple(heartbeat.demand),
        )
        self._mark_replaced(sender)
        return not was_live and heartbeat.state is data.NodeState.LIVE

    def _superseded(self, sender: str) -> bool:
        name, _, incarnation = sender.partition("#")
        for other in self.members:
            other_name, _, other_incarnation = other.partition("#")
            if other_name == name and int(other_incarnation) > int(incarnation):
                return True
        return False

    def _mark_replaced(self, sender: str) -> None:
        name = context.name_of(sender)
        for other in self.members.values():
            if other.node != sender and context.name_of(other.node) == name:
                other.state = data.NodeState.GONE

    def mark_gone(self, nodes: tuple[str, ...]) -> list[str]:
        """Mark incarnations as gone by the platform's list; return those newly gone."""
        changed = []
        for node in nodes:
            member = self.members.get(node)
            if member is None or member.state is not data.NodeState.GONE:
                changed.append(node)
            data_centre = member.data_centre if member else ""
            self.members[node] = Member(node, data_centre, data.NodeState.GONE, -1)
        return changed

    def tick(self) -> list[str]:
        """Update states by the time since the last heartbeats; return those that became gone."""
        now = self.ctx.now()
        gone = []
        for member in self.members.values():
            if member.state is data.NodeState.GONE:
                continue
            unseen_ms = now - member.last_seen_ms
            if unseen_ms >= GONE_INTERVALS * self.heartbeat_interval_ms:
                member.state = data.NodeState.GONE
                gone.append(member.node)
            elif unseen_ms >= SUSPECT_INTERVALS * self.heartbeat_interval_ms:
                member.state = data.NodeState.SUSPECT
        self._prune(now)
        return gone

    def _prune(self, now: int) -> None:
        old = [
            m.node
            for m in self.members.values()
            if m.state is data.NodeState.GONE
            and now - m.last_seen_ms > RETENTION_MS
            and m.last_seen_ms >= 0
        ]
        for node in old:
            del self.members[node]

    def state(self, node: str) -> data.NodeState:
        """Return a node's state; an unknown one is gone."""
        if node == self.ctx.node:
            return data.NodeState.LEAVING if self.leaving else data.NodeState.LIVE
        member = self.members.get(node)
        return member.state if member else data.NodeState.GONE

    def confirmed_gone(self, node: str) -> bool:
        """Return whether a node can't act any more.

        Proof is the platform's list or a later incarnation, not missed heartbeats.
        """
        member = self.members.get(node)
        if member is not None and member.state is data.NodeState.GONE and member.last_seen_ms < 0:
            return True
        return self._superseded(node)

    def live(self, other_than_data_centre: str = "") -> list[str]:
        """Return live nodes outside a data centre, this one included, by name."""
        names = [
            m.node
            for m in self.members.values()
            if m.state is data.NodeState.LIVE and m.data_centre != other_than_data_centre
        ]
        if not self.leaving and self.ctx.data_centre != other_than_data_centre:
            names.append(self.ctx.node)
        return sorted(names)

    def reachable(self) -> list[str]:
        """Return other nodes that are not gone, by name."""
        return sorted(m.node for m in self.members.values() if m.state is not data.NodeState.GONE)

    def data_centre(self, node: str) -> str:
        """Return a node's data centre, or "" if unknown."""
        if node == self.ctx.node:
            return self.ctx.data_centre
        member = self.members.get(node)
        return member.data_centre if member else ""
