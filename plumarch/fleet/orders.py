"""Orders to the cloud, each carried out once even if answers are lost.

One node per region holds a platform object whose epoch fences its orders. Orders are stored there
before they are sent, and their tokens make repeats by a successor idempotent.
"""

import dataclasses
import enum

import msgspec

from plumarch.core import context, data, events
from plumarch.fleet import plan
from plumarch.membership import members

OBJECT = "fleet/orders"
INTERVAL_MS = 5_000

RETRY_MS = 1_000

LIST_GRACE_MS = 300_000
"""Maximum time until a started VM is listed."""

ORDERS_LIMIT = 50
"""Orders in progress."""

REFUSALS_LIMIT = 100


class State(enum.StrEnum):
    """State of an order."""

    WRITTEN = "written"
    DONE = "done"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A start with target and class, or a release with a name."""

    token: str
    start: bool
    name: str
    target: str
    data_centre: str
    vm_class: str
    why: str
    state: State = State.WRITTEN


@dataclasses.dataclass(frozen=True, slots=True)
class Book:
    """The stored object: holder, unfinished orders and refusals."""

    epoch: int
    holder: str
    orders: tuple[Order, ...] = ()
    refusals: tuple[plan.Refusal, ...] = ()
    writer: str = ""


class Orders:
    """Sends VM orders while this node holds the object."""

    def __init__(self, ctx: context.Context, membership: members.Membership) -> None:
        self.ctx = ctx
        self.membership = membership
        self.book: Book | None = None
        self.version = 0
        self.is_holder = False
        self.writing: dict[str, Book] = {}
        self.call = 0
        self.purpose = ""
        self.sequence = 0
        self.order_calls: dict[int, str] = {}
        self.done_ms: dict[str, int] = {}
        self.next_round_ms = ctx.now() + INTERVAL_MS
        self.retry_at_ms = -1

    def decides(self) -> bool:
        """Return whether this node is the holder."""
        return self.is_holder and self.book is not None and self.book.holder == self.ctx.node

    def tick(self, changes: list[plan.Change], listed: frozenset[str]) -> None:
        """Take over from a holder that left, or write and send orders.

        Args:
          changes: empty if this node is not the holder.
          listed: names of the VMs that the platform lists.
        """
        now = self.ctx.now()
        if self.purpose:
            if 0 <= self.retry_at_ms <= now:
                self._read()
            return
        if now < self.next_round_ms:
            return
        self.next_round_ms = now + INTERVAL_MS
        if not self.decides():
            if self._is_most_senior():
                self._read()
            return
        if self.membership.leaving:
            self.is_holder = False
            return
        self._order(changes, listed)

    def _is_most_senior(self) -> bool:
        live = self.membership.live()
        return bool(live) and live[0] == self.ctx.node

    def _order(self, changes: list[plan.Change], listed: frozenset[str]) -> None:
        assert self.book is not None
        self._resend()
        if any(order.state is State.WRITTEN for order in self.book.orders):
            return
        kept = tuple(order for order in self.book.orders if self._awaits_list(order, listed))
        free = ORDERS_LIMIT - len(kept)
        fresh = tuple(self._new_order(change) for change in changes[:free])
        if fresh or kept != self.book.orders:
            self._write(dataclasses.replace(self.book, orders=kept + fresh))

    def _awaits_list(self, order: Order, listed: frozenset[str]) -> bool:
        """Return whether a started VM is missing in the list, which lags behind."""
        if not order.start or order.state is not State.DONE or order.name in listed:
            self.done_ms.pop(order.token, None)
            return False
        since = self.done_ms.setdefault(order.token, self.ctx.now())
        return self.ctx.now() - since < LIST_GRACE_MS

    def _new_order(self, change: plan.Change) -> Order:
        self.sequence += 1
        token = f"{self.ctx.node}/{self.book.epoch if self.book else 0}/{self.sequence}"
        if isinstance(change, plan.Start):
            return Order(
                token, True, "", change.target, change.data_centre, change.vm_class, change.why
            )
        return Order(token, False, change.name, "", "", "", change.why)

    def _resend(self) -> None:
        assert self.book is not None
        in_progress = set(self.order_calls.values())
        for order in self.book.orders:
            if order.state is State.WRITTEN and order.token not in in_progress:
                self._send(order)

    def _send(self, order: Order) -> None:
        assert self.book is not None
        call_id = self.ctx.next_call()
        self.order_calls[call_id] = order.token
        what = f"start {order.vm_class} in {order.data_centre}"
        if not order.start:
            what = f"release {order.name}"
        self.ctx.note(None, "fleet", what, order.why)
        self.ctx.act(
            events.CloudOrder(
                call_id,
                order.token,
                order.start,
                order.name,
                order.target,
                order.data_centre,
                order.vm_class,
                self.book.epoch,
            )
        )

    # Reads and writes of the object.

    def _read(self) -> None:
        self.purpose = "read"
        self.retry_at_ms = -1
        self.call = self.ctx.next_call()
        self.ctx.act(events.PlatformGet(self.call, OBJECT))

    def _write(self, wanted: Book) -> None:
        self.sequence += 1
        token = f"{self.ctx.node}/w{self.sequence}"
        marked = dataclasses.replace(wanted, writer=token)
        self.writing = {token: marked}
        self.purpose = "write"
        self.retry_at_ms = -1
        self.call = self.ctx.next_call()
        value = msgspec.json.encode(marked)
        self.ctx.act(events.PlatformPut(self.call, OBJECT, value, self.version))

    def platform_answered(self, answer: events.PlatformAnswer) -> bool:
        """Handle a platform answer; return whether it was for this object."""
        if answer.call_id != self.call or not self.purpose:
            return False
        status = events.PlatformStatus
        if self.purpose == "read" and answer.status in (status.OK, status.ABSENT):
            self._was_read(answer)
        elif self.purpose == "write" and answer.status is status.OK:
            self._was_written(answer.version, next(iter(self.writing.values())))
        elif self._certainly_unwritten(answer.status):
            self.purpose = ""
        else:
            # After a conflict or a lost answer, read the object first.
            self.purpose = "read"
            self.retry_at_ms = self.ctx.now() + RETRY_MS
        return True

    def _certainly_unwritten(self, status: events.PlatformStatus) -> bool:
        """Return whether no write may still take effect after a failed call."""
        if self.purpose == "write":
            return status is events.PlatformStatus.UNREACHED
        return not self.writing

    def _was_read(self, answer: events.PlatformAnswer) -> None:
        self.purpose = ""
        found = Book(0, "")
        if answer.status is events.PlatformStatus.OK:
            found = msgspec.json.decode(answer.value, type=Book)
        landed = self.writing.get(found.writer)
        if landed is not None:
            self._was_written(answer.version, landed)
            return
        if self.writing and answer.version == self.version:
            # The write may still take effect; repeating it at this version supersedes it.
            self._write(next(iter(self.writing.values())))
            return
        self.writing = {}
        self.version = answer.version
        self.book = found
        self.is_holder = False
        out = self.membership.state(found.holder) in (data.NodeState.GONE, data.NodeState.LEAVING)
        mine = found.holder == self.ctx.node
        if (mine or not found.holder or out) and not self.membership.leaving:
            self._write(dataclasses.replace(found, epoch=found.epoch + 1, holder=self.ctx.node))

    def _was_written(self, version: int, landed: Book) -> None:
        self.purpose = ""
        self.writing = {}
        self.version = version
        self.book = landed
        self.is_holder = True
        self._resend()

    # Answers of the cloud.

    def cloud_answered(self, answer: events.CloudAnswer) -> None:
        """Handle an answer of the cloud."""
        token = self.order_calls.pop(answer.call_id, "")
        if not token or self.book is None:
            return
        if answer.status is events.CloudStatus.FENCED:
            self.is_holder = False
            return
        if answer.status is events.CloudStatus.UNKNOWN:
            return
        refused = answer.status is events.CloudStatus.REFUSED
        state = State.REFUSED if refused else State.DONE
        orders = []
        for order in self.book.orders:
            if order.token == token:
                name = answer.name or order.name
                order = dataclasses.replace(order, state=state, name=name)
                self._note_outcome(order)
            orders.append(order)
        self.book = dataclasses.replace(self.book, orders=tuple(orders))

    def _note_outcome(self, order: Order) -> None:
        assert self.book is not None
        self.ctx.count("fleet_orders", label=order.state)
        if not order.start:
            return
        kept = [
            r
            for r in self.book.refusals
            if (r.data_centre, r.vm_class) != (order.data_centre, order.vm_class)
        ]
        if order.state is State.REFUSED:
            before = self.refused(order.data_centre, order.vm_class)
            count = before.count + 1 if before else 1
            refusal = plan.Refusal(order.data_centre, order.vm_class, count, self.ctx.now())
            kept.append(refusal)
            self.ctx.note(
                None, "fleet", f"no {order.vm_class} in {order.data_centre}", "the cloud refused"
            )
        self.book = dataclasses.replace(self.book, refusals=tuple(kept[-REFUSALS_LIMIT:]))

    def refused(self, data_centre: str, vm_class: str) -> plan.Refusal | None:
        """Return the refusals of a class, if any."""
        for refusal in self.book.refusals if self.book else ():
            if (refusal.data_centre, refusal.vm_class) == (data_centre, vm_class):
                return refusal
        return None

    def pending_starts(self) -> list[Order]:
        """Return the starts that may not be in the VM list yet."""
        orders = self.book.orders if self.book else ()
        return [o for o in orders if o.start and o.state is not State.REFUSED]
