"""The quarantine's record in the platform's store, for isolated nodes and full restarts of a fleet.

In each partition the most senior node that reaches the store watches and writes it. A trial run is
granted to the node whose conditional write succeeds.
"""

import asyncio
from collections.abc import Callable, Sequence

import msgspec

from plumarch.core import decoding, errors, records, revisions
from plumarch.gateway import fleet_state, ports
from plumarch.gateway.gossip import suspect_updates
from plumarch.gateway.store import follower
from plumarch.limits import quarantine
from plumarch.peers import suspect_entries

KIND = "plumarch-quarantine"
NAME = "requests"

WATCH_MS = 20_000
"""Duration of a watch: long, as calls are billed."""

MIN_POINTS = 2 * quarantine.EARLY_POINTS
"""Points from which a request is recorded: one crash early, as partitions' crashes add up."""

MAX_SUSPECTS = 64
"""Maximum requests in the record, which the store limits to 1 MB."""

FIRST_LIST_MS = 500.0
"""Delay of the first list, in which a new process learns of other followers."""

WRITE_CHECK_MS = 100.0
"""Interval of the checks for due writes."""

CLAIM_RETRY_MS = 1_000
"""Pause after a claim that the store did not grant; each claim takes two of its calls."""

SUSPECT_DELAY_MS = 500
"""Delay of writing a request not yet quarantined, which batches writes."""


class QuarantineRecord:
    """One node's copy of the record.

    Attributes:
      recorded: suspects when last read or written, by fingerprint.
      revision: when last read or written; 0 if there was no record.
      due_ms: when missing requests are written; None if there are none.
      claiming: fingerprints whose trials this node is claiming.
      claim_after_ms: when this node may claim trials again after the store failed.
    """

    def __init__(
        self,
        state: fleet_state.FleetState,
        store: ports.Store,
        follows: Callable[[], bool] = lambda: True,
    ) -> None:
        """Create the copy.

        Args:
          follows: returns whether this node has to watch and write the record now.
        """
        self.state = state
        self.store = store
        self.follows = follows
        self.dependency = follower.Dependency(state, "store-quarantine-write")
        self.recorded: dict[str, quarantine.Suspect] = {}
        self.revision = 0
        self.due_ms: int | None = None
        self.claiming: set[str] = set()
        self.claim_after_ms = 0
        state.request_trial = self.claim

    async def follow_forever(self) -> None:
        """Apply changes of the record while this node follows it, forever."""
        dependency = follower.Dependency(self.state, "store-quarantine")
        revision: int | None = None
        await asyncio.sleep(FIRST_LIST_MS / 1000.0)
        while True:
            # While the store is down, only configuration and endpoints are requested.
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
        """List the record, or watch it from a revision; return the revision reached.

        Raises:
          PlatformError: the store did not answer.
        """
        if revision is None:
            # The first list may be stale: it costs a tenth, and the watch continues from it.
            found = await self.store.list_records(KIND, stale=self.revision == 0)
            self.state.unreadable.listed(KIND, found.unreadable)
            if revisions.era(found.revision) > revisions.era(self.revision):
                self._forget_record(found.revision)
            elif not found.found and self.revision:
                self._clear_all()
            for record in found.found:
                self._apply_record(record)
            return found.revision
        update = await self.store.watch_records(KIND, revision, WATCH_MS)
        changed = [record.name for record in update.changed]
        self.state.unreadable.changed(KIND, [*changed, *update.removed], update.unreadable)
        if NAME in update.removed:
            self._clear_all()
        for record in update.changed:
            self._apply_record(record)
        return update.revision

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

    def _forget_record(self, revision: int) -> None:
        """Have the record written again, since the store came back from an older copy."""
        if self.revision:
            self.state.log.write("quarantine_record_lost", revision=revisions.shown(revision))
        self.revision, self.recorded = 0, {}

    def _clear_all(self) -> None:
        """Lift all quarantines, since operators removed the record."""
        self.revision, self.recorded = 0, {}
        known = self.state.quarantine
        lifted = [name for name in known.suspects if known.clear_suspect(name)]
        self.state.log.write("quarantine_lifted", urgent=True, requests=len(lifted))
        for name in lifted:
            self._publish(name)

    def _publish(self, fingerprint: str) -> None:
        if self.state.publish_suspects is not None:
            self.state.publish_suspects([fingerprint])

    async def write_forever(self) -> None:
        """Write missing requests while this node follows the record, forever."""
        while True:
            pause_ms = WRITE_CHECK_MS
            try:
                if self.follows():
                    await self.write_due()
            except errors.PlatformConflict:
                # Another node wrote first: merge with its record before the next write.
                await self._reload()
            except errors.PlatformError as error:
                pause_ms = self.dependency.failed(error, follower.SHARED_BACKOFF)
            await asyncio.sleep(pause_ms / 1000.0)

    async def write_due(self) -> None:
        """Write missing requests once they are due.

        Raises:
          PlatformError: the write failed; to be retried.
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
        """Return this node's suspects that are newer than the record's."""
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
        """Write the record with changed requests.

        Raises:
          PlatformConflict: the record changed since it was read.
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

    async def claim(self, *fingerprints: str) -> bool:
        """Claim the trial run of a quarantined request; only one node is granted it.

        Args:
          fingerprints: of the request and its prompt segments.
        """
        names = {one.fingerprint for one in self.state.quarantine.held_among(fingerprints)}
        if names & self.claiming or self.state.clock.now() < self.claim_after_ms:
            return False
        self.claiming |= names
        try:
            return await self._claim(fingerprints)
        finally:
            self.claiming -= names

    async def _claim(self, fingerprints: Sequence[str]) -> bool:
        known = self.state.quarantine
        await self._reload()
        quarantined = known.find_quarantined(*fingerprints)
        if quarantined is None:
            return True
        if quarantined.back_in_ms > 0:
            return False
        held = known.held_among(fingerprints)
        trials = {one.fingerprint: one.trials + 1 for one in held}
        tried = [quarantine.merge(one, self._next_trial(one)) for one in held]
        try:
            await self._write(tried)
        except errors.PlatformError as error:
            self.claim_after_ms = self.state.clock.now() + CLAIM_RETRY_MS
            self.state.log.write("trial_not_granted", trials=trials, error=str(error))
            return False
        known.merge(tried)
        for name, number in trials.items():
            self._publish(name)
            self.state.log.write("quarantine_trial", urgent=True, fingerprint=name, trials=number)
        return True

    def _next_trial(self, suspect: quarantine.Suspect) -> quarantine.Suspect:
        return quarantine.Suspect(
            suspect.fingerprint, trials=suspect.trials + 1, tried_ms=self._now()
        )


def most_suspect(suspects: dict[str, quarantine.Suspect], now: int) -> list[quarantine.Suspect]:
    """Return the unexpired suspects with the most points, at most MAX_SUSPECTS."""
    found = [one for one in suspects.values() if not one.is_over(now)]
    found.sort(key=lambda one: (-one.points(), -one.last_ms(), one.fingerprint))
    return found[:MAX_SUSPECTS]


def encode(suspects: list[quarantine.Suspect]) -> str:
    """Encode suspects as a record's value."""
    entries = [suspect_entries.to_message(one, quarantine.MAX_CRASHES) for one in suspects]
    return msgspec.json.encode(entries).decode()


def decode(value: str) -> list[quarantine.Suspect] | None:
    """Decode a record's value, or return None if it is malformed."""
    try:
        entries = decoding.json_text(value, list[suspect_entries.ReportedSuspect])
    except msgspec.DecodeError:
        return None
    return [suspect_entries.from_message(one) for one in entries]
