"""The quarantine in the platform's store: what outlives all processes, and reaches nodes cut off.

Nodes tell each other in milliseconds of a request that ends its endpoints. The record is for those
that no peer reaches, and for processes that start when all others have ended. One node follows and
writes it, from two ends on: the oldest of those that hear each other and reach the store, so that
each part of a fleet that is cut has one. The record also decides who makes a trial: the node whose
conditional write takes.
"""

import asyncio
from collections.abc import Callable

import msgspec

from plumarch.core import errors, records
from plumarch.gateway import fleet_state, ports
from plumarch.gateway.gossip import suspect_updates
from plumarch.gateway.store import follower
from plumarch.limits import quarantine
from plumarch.peers import suspect_entries

KIND = "plumarch-quarantine"
NAME = "requests"

WATCH_MS = 20_000
"""How long the store holds a watch: changes are rare, and calls are paid for. A connection that
falls silent is noticed by probes after 3 s."""

MIN_POINTS = 2 * quarantine.EARLY_POINTS
"""Points from which on a request is written: the third end may come where nobody else is heard."""

MAX_SUSPECTS = 64
"""Requests in the record, the most suspect first; some 400 bytes each, of the megabyte that a value
may have."""

FIRST_LIST_MS = 500.0
"""A process that starts hears first whether another one follows the record: each call is paid for,
and nodes tell it at once what is held back."""

LOOK_MS = 100.0
"""How often a node looks whether something is to be written."""

SUSPECT_DELAY_MS = 500
"""How long a request that isn't held back yet waits to be written, with others of the same time."""


class QuarantineRecord:
    """One node's side of the record.

    Attributes:
      recorded: what the record was known to hold last, by fingerprint.
      revision: of the record as it was read or written last; 0 if none was found.
      due_ms: when this node writes what is missing; None if nothing is.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        store: ports.Store,
        follows: Callable[[], bool] = lambda: True,
    ) -> None:
        """Keep what the record needs.

        Args:
          follows: whether this node is the one that follows the record now.
        """
        self.state = state
        self.store = store
        self.follows = follows
        self.dependency = follower.Dependency(state, "store-quarantine-write")
        self.recorded: dict[str, quarantine.Suspect] = {}
        self.revision = 0
        self.due_ms: int | None = None
        state.claim_trial = self.claim

    # Following.

    async def follow_forever(self) -> None:
        """Take in what the record holds while this node follows it, forever."""
        dependency = follower.Dependency(self.state, "store-quarantine")
        revision: int | None = None
        await asyncio.sleep(FIRST_LIST_MS / 1000.0)
        while True:
            # While the store answers nobody, it is asked for what is needed more.
            if not self.follows() or not self.state.reaches_store:
                revision = None
                await asyncio.sleep(follower.NOT_WATCHING_MS / 1000.0)
                continue
            try:
                revision = await self.step(revision)
                dependency.answered()
                await asyncio.sleep(follower.NEWS_PAUSE_MS / 1000.0)
            except errors.PlatformError as error:
                revision = None
                pause_ms = dependency.failed(error, follower.SHARED_BACKOFF)
                await asyncio.sleep(pause_ms / 1000.0)

    async def step(self, revision: int | None) -> int:
        """List the record, or wait for a change of it from a revision; return the one reached.

        Raises:
          PlatformError: the store did not answer.
        """
        if revision is None:
            # The first list may be some seconds old: it costs a tenth, and the watch after it
            # begins where it ends.
            found = await self.store.list_records(KIND, stale=self.revision == 0)
            self.state.unreadable.listed(KIND, found.unreadable)
            if not found.found and self.revision:
                self._clear_all()
            for record in found.found:
                self._apply_record(record)
            return found.revision
        news = await self.store.watch_records(KIND, revision, WATCH_MS)
        changed = [record.name for record in news.changed]
        self.state.unreadable.changed(KIND, [*changed, *news.removed], news.unreadable)
        if NAME in news.removed:
            self._clear_all()
        for record in news.changed:
            self._apply_record(record)
        return news.revision

    def _apply_record(self, record: records.Record) -> None:
        if record.name != NAME or record.revision < self.revision:
            return
        suspects = decode(record.value)
        if suspects is None:
            self.state.log.write(
                "bad_quarantine_record", urgent=True, name=record.name, value=record.value[:200]
            )
            suspects = []
        self.revision = record.revision
        self.recorded = {one.fingerprint: one for one in suspects}
        for name in suspect_updates.adopt(self.state, suspects, follower.STORE):
            self._publish(name)

    def _clear_all(self) -> None:
        """Let all requests run again, since operators removed the record."""
        self.revision, self.recorded = 0, {}
        known = self.state.quarantine
        lifted = [name for name in known.suspects if known.clear_suspect(name)]
        self.state.log.write("quarantine_lifted", urgent=True, requests=len(lifted))
        for name in lifted:
            self._publish(name)

    def _publish(self, fingerprint: str) -> None:
        if self.state.publish_suspect is not None:
            self.state.publish_suspect(fingerprint)

    # Writing.

    async def write_forever(self) -> None:
        """Write what is missing while this node follows the record, forever."""
        while True:
            pause_ms = LOOK_MS
            try:
                if self.follows():
                    await self.write_due()
            except errors.PlatformConflict:
                # Somebody else wrote first; its watch, or this read, tells what.
                await self._reload()
            except errors.PlatformError as error:
                pause_ms = self.dependency.failed(error, follower.SHARED_BACKOFF)
            await asyncio.sleep(pause_ms / 1000.0)

    async def write_due(self) -> None:
        """Write what is missing once it is due.

        Raises:
          PlatformError: the store did not do it; to be tried again.
        """
        missing = self._missing()
        now = self.state.clock.now()
        if not missing:
            self.due_ms = None
            return
        if self.due_ms is None:
            self.due_ms = now + SUSPECT_DELAY_MS
        if now >= self.due_ms or any(one.is_quarantined() for one in missing):
            self.due_ms = None
            await self._write(missing)

    def _missing(self) -> list[quarantine.Suspect]:
        """Return what this node knows of requests, and the record lacks."""
        found = []
        for one in self.state.quarantine.suspects.values():
            known = self.recorded.get(one.fingerprint)
            if known is None and one.points() < MIN_POINTS:
                continue
            merged = quarantine.merge(known or quarantine.Suspect(one.fingerprint), one)
            if merged != known:
                found.append(merged)
        return found

    async def _write(self, changed: list[quarantine.Suspect]) -> None:
        """Write the record with what changed.

        Raises:
          PlatformConflict: it changed since it was read.
        """
        wanted = most_suspect(
            {**self.recorded, **{one.fingerprint: one for one in changed}}, self._now()
        )
        record = records.Record(NAME, encode(wanted), self.revision)
        written = await self.store.write_record(KIND, record)
        self.dependency.answered()
        self.revision = written.revision
        self.recorded = {one.fingerprint: one for one in wanted}
        self.state.log.write(
            "quarantine_recorded",
            requests=[one.fingerprint for one in changed],
            revision=self.revision,
        )

    def _now(self) -> int:
        return self.state.wall.now()

    async def _reload(self) -> None:
        try:
            found = await self.store.read_record(KIND, NAME)
        except errors.PlatformError as error:
            self.state.log.write("quarantine_unread", error=str(error))
            return
        if found is not None:
            self._apply_record(found)
        else:
            self.revision, self.recorded = 0, {}

    # Trials.

    async def claim(self, fingerprint: str) -> bool:
        """Return whether this node, and no other one, may try a request that is held back now."""
        await self._reload()
        hold = self.state.quarantine.find_quarantined(fingerprint)
        if hold is None:
            return True
        if hold.back_in_ms > 0:
            return False
        trials = hold.suspect.trials + 1
        trial = quarantine.Suspect(fingerprint, trials=trials, tried_ms=self._now())
        try:
            await self._write([quarantine.merge(hold.suspect, trial)])
        except errors.PlatformError as error:
            self.state.log.write(
                "trial_not_granted", fingerprint=fingerprint, trials=trials, error=str(error)
            )
            return False
        self.state.quarantine.record_trial(fingerprint, trials)
        self._publish(fingerprint)
        self.state.log.write(
            "quarantine_trial", urgent=True, fingerprint=fingerprint, trials=trials
        )
        return True


def most_suspect(suspects: dict[str, quarantine.Suspect], now: int) -> list[quarantine.Suspect]:
    """Return what the record is to hold: the most suspect that are not long past."""
    found = [one for one in suspects.values() if not one.is_over(now)]
    found.sort(key=lambda one: (-one.points(), -one.last_ms(), one.fingerprint))
    return found[:MAX_SUSPECTS]


def encode(suspects: list[quarantine.Suspect]) -> str:
    """Return requests as the store keeps them."""
    told = [suspect_entries.to_message(one, quarantine.MAX_CRASHES) for one in suspects]
    return msgspec.json.encode(told).decode()


def decode(value: str) -> list[quarantine.Suspect] | None:
    """Return the requests of a record, or None if it can't be read."""
    try:
        told = msgspec.json.decode(value, type=list[suspect_entries.ReportedSuspect])
    except msgspec.DecodeError:
        return None
    return [suspect_entries.from_message(one) for one in told]
