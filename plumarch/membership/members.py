"""Which entry nodes live, as one node sees it.

Heartbeats and the platform's list only decide *when* others act. No promise
rests on them: the rules in plumarch.recovery hold however wrong this view is.
"""

import dataclasses

from plumarch.core import context, data, messages

HEARTBEAT_MS = 500
"""Shortest time between two heartbeats; news is told at once all the same."""

HEARTBEAT_BYTES = 80
HEARTBEAT_BYTES_PER_S = 1_500
"""What heartbeats may cost a node: with many peers they become rarer."""

SUSPECT_INTERVALS = 3
GONE_INTERVALS = 5
RETENTION_MS = 600_000


@dataclasses.dataclass(slots=True)
class Member:
    """What is known of another node incarnation."""

    node: str
    data_centre: str
    state: data.NodeState
    last_seen_ms: int
    address: str = ""
    revision: int = 0
    demand: tuple[tuple[str, int, int], ...] = ()


def interval_ms(peers: int) -> int:
    """Return the time between heartbeats for a number of peers."""
    afforded = peers * HEARTBEAT_BYTES * 1_000 // HEARTBEAT_BYTES_PER_S
    return max(HEARTBEAT_MS, afforded)


class Membership:
    """The members of a region's entry nodes, by identity."""

    def __init__(self, ctx: context.Context) -> None:
        self.ctx = ctx
        self.members: dict[str, Member] = {}
        self.leaving = False
        self.heartbeat_interval_ms = HEARTBEAT_MS

    def heard(self, sender: str, beat: messages.Heartbeat) -> bool:
        """Take in a heartbeat.

        A new incarnation under a known name ends the older one at once; a late
        heartbeat of the older one is ignored.

        Returns:
          Whether the sender was not live before.
        """
        if self._superseded(sender):
            return False
        known = self.members.get(sender)
        if known is not None and known.state is data.NodeState.GONE and known.last_seen_ms < 0:
            return False
        was_live = known is not None and known.state is data.NodeState.LIVE
        self.members[sender] = Member(
            sender,
            beat.data_centre,
            beat.state,
            self.ctx.now(),
            beat.address,
            beat.revision,
            tuple(beat.demand),
        )
        self._end_older(sender)
        return not was_live and beat.state is data.NodeState.LIVE

    def _superseded(self, sender: str) -> bool:
        name, _, incarnation = sender.partition("#")
        for other in self.members:
            other_name, _, other_incarnation = other.partition("#")
            if other_name == name and int(other_incarnation) > int(incarnation):
                return True
        return False

    def _end_older(self, sender: str) -> None:
        name = context.name_of(sender)
        for other in self.members.values():
            if other.node != sender and context.name_of(other.node) == name:
                other.state = data.NodeState.GONE

    def mark_gone(self, nodes: tuple[str, ...]) -> list[str]:
        """Mark incarnations that the platform says no longer exist.

        Returns:
          Those that were not known to be gone.
        """
        news = []
        for node in nodes:
            member = self.members.get(node)
            if member is None or member.state is not data.NodeState.GONE:
                news.append(node)
            data_centre = member.data_centre if member else ""
            self.members[node] = Member(node, data_centre, data.NodeState.GONE, -1)
        return news

    def tick(self) -> list[str]:
        """Age the members.

        Returns:
          Those that turned from alive to gone just now.
        """
        now = self.ctx.now()
        gone = []
        for member in self.members.values():
            if member.state is data.NodeState.GONE:
                continue
            silence = now - member.last_seen_ms
            if silence >= GONE_INTERVALS * self.heartbeat_interval_ms:
                member.state = data.NodeState.GONE
                gone.append(member.node)
            elif silence >= SUSPECT_INTERVALS * self.heartbeat_interval_ms:
                member.state = data.NodeState.SUSPECT
        self._forget(now)
        return gone

    def _forget(self, now: int) -> None:
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
        """Return how a node is seen; one never heard of counts as gone."""
        if node == self.ctx.node:
            return data.NodeState.LEAVING if self.leaving else data.NodeState.LIVE
        member = self.members.get(node)
        return member.state if member else data.NodeState.GONE

    def confirmed_gone(self, node: str) -> bool:
        """Return whether a node can't act any more, by proof and not by silence.

        Proof is the platform's list, or a later incarnation under the same name.
        """
        member = self.members.get(node)
        if member is not None and member.state is data.NodeState.GONE and member.last_seen_ms < 0:
            return True
        return self._superseded(node)

    def live(self, other_than_data_centre: str = "") -> list[str]:
        """Return live nodes, this one included, outside a data centre, in name order."""
        names = [
            m.node
            for m in self.members.values()
            if m.state is data.NodeState.LIVE and m.data_centre != other_than_data_centre
        ]
        if not self.leaving and self.ctx.data_centre != other_than_data_centre:
            names.append(self.ctx.node)
        return sorted(names)

    def reachable(self) -> list[str]:
        """Return the other nodes that are not known to be gone, in name order."""
        return sorted(m.node for m in self.members.values() if m.state is not data.NodeState.GONE)

    def data_centre(self, node: str) -> str:
        """Return the data centre of a node, or "" if unknown."""
        if node == self.ctx.node:
            return self.ctx.data_centre
        member = self.members.get(node)
        return member.data_centre if member else ""
