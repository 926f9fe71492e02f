"""HTTP client of the platform, within this process's share of the call budget."""

import httpx
import msgspec

from plumarch.core import clock, data, errors
from plumarch.object_api import protocol

READS_PER_S = 13.0
WRITES_PER_S = 2.6
"""This process's share of the 6,000 reads and 1,200 writes a second that the platform accepts from
a fleet of 450 nodes."""

BURST_S = 10.0
"""Capacity of the token buckets, in seconds of calls."""

TIMEOUT_S = 3.0


class Budget:
    """A token bucket for one kind of call."""

    def __init__(self, time: clock.Clock, per_second: float) -> None:
        self.time = time
        self.per_second = per_second
        self.balance = per_second * BURST_S
        self.last_ms = time.now()

    def spend(self) -> None:
        """Spend one token.

        Raises:
          BudgetExceeded: the bucket is empty.
        """
        now = self.time.now()
        earned = (now - self.last_ms) / 1000 * self.per_second
        self.balance = min(self.per_second * BURST_S, self.balance + earned)
        self.last_ms = now
        if self.balance < 1.0:
            raise errors.BudgetExceeded("The budget of platform calls is spent. Wait a second.")
        self.balance -= 1.0


class HttpPlatform:
    """The platform's HTTP API."""

    def __init__(self, url: str, token: str, time: clock.Clock) -> None:
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        self.http = httpx.AsyncClient(base_url=url, headers=headers, timeout=TIMEOUT_S)
        self.vms_tag = ""
        self.reads = Budget(time, READS_PER_S)
        self.writes = Budget(time, WRITES_PER_S)

    async def _read(
        self,
        path: str,
        params: dict[str, str | int],
        timeout_s: float = TIMEOUT_S,
        headers: dict[str, str] | None = None,
    ) -> httpx.Response:
        self.reads.spend()
        try:
            answer = await self.http.get(path, params=params, timeout=timeout_s, headers=headers)
        except httpx.HTTPError as error:
            raise errors.PlatformUnavailable(
                f"No answer from the platform: {error!r}. Try again."
            ) from error
        if answer.status_code >= 500 or answer.status_code == 429:
            raise errors.PlatformUnavailable(
                f"The platform answered {answer.status_code}. Try again."
            )
        return answer

    async def get(self, name: str) -> protocol.Object:
        """Read an object. Raises PlatformAbsent, PlatformUnavailable."""
        answer = await self._read(f"/objects/{name}", {})
        if answer.status_code == 404:
            raise errors.PlatformAbsent(f"There is no object {name}.")
        return protocol.Object(name, int(answer.headers["etag"]), answer.content)

    async def put(self, name: str, value: bytes, expected_version: int) -> int:
        """Write an object at an expected version (0: absent).

        Returns:
          The new version.
        Raises:
          PlatformConflict: the object has another version; nothing was written.
          PlatformUnavailable: the platform was not reached; nothing was written.
          PlatformAnswerLost: it may have been written; read it back.
        """
        self.writes.spend()
        headers = {"If-Match": str(expected_version)}
        if expected_version == 0:
            headers = {"If-None-Match": "*"}
        try:
            answer = await self.http.put(f"/objects/{name}", content=value, headers=headers)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise errors.PlatformUnavailable(f"The platform was not reached: {error!r}.") from error
        except httpx.HTTPError as error:
            raise errors.PlatformAnswerLost(
                f"Answer lost: {error!r}. Read the object back."
            ) from error
        if answer.status_code == 412:
            raise errors.PlatformConflict(f"{name} changed since it was read. Read it again.")
        if answer.status_code == 429:
            raise errors.PlatformUnavailable(
                "The platform rejected the call: too many calls. Try again."
            )
        if answer.status_code != 200:
            raise errors.PlatformAnswerLost(f"Status {answer.status_code}. Read the object back.")
        return int(answer.headers["etag"])

    async def watch(self, prefix: str, since: int, wait_ms: int) -> protocol.Change:
        """Wait for changes after a revision.

        Raises:
          PlatformRevisionExpired: the platform no longer has the changes since then.
          PlatformUnavailable: the platform did not answer.
        """
        params: dict[str, str | int] = {"prefix": prefix, "since": since, "wait_ms": wait_ms}
        answer = await self._read("/watch", params, wait_ms / 1000 + TIMEOUT_S)
        if answer.status_code == 410:
            raise errors.PlatformRevisionExpired(
                "The changes since that revision are gone. Read all objects, then watch."
            )
        return msgspec.json.decode(answer.content, type=protocol.Change)

    async def vms(self) -> protocol.VmList | None:
        """Read the VM list; None if it has not changed. Raises PlatformUnavailable."""
        headers = {"If-None-Match": self.vms_tag} if self.vms_tag else {}
        answer = await self._read("/vms", {}, headers=headers)
        if answer.status_code == httpx.codes.NOT_MODIFIED:
            return None
        self.vms_tag = answer.headers.get("etag", "")
        return msgspec.json.decode(answer.content, type=protocol.VmList)

    async def notices(self, since: int) -> list[protocol.Notice]:
        """Read the reclaim notices after a number. Raises PlatformUnavailable."""
        answer = await self._read("/cloud/notices", {"since": since})
        return msgspec.json.decode(answer.content, type=list[protocol.Notice])

    async def order(self, order: protocol.Order) -> protocol.OrderAnswer:
        """Send an order to the cloud.

        Raises:
          PlatformUnavailable: the platform was not reached.
          PlatformAnswerLost: the order may have been carried out. Send it again.
        """
        self.writes.spend()
        body = msgspec.json.encode(order)
        try:
            answer = await self.http.post("/cloud/orders", content=body)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise errors.PlatformUnavailable(f"The platform was not reached: {error!r}.") from error
        except httpx.HTTPError as error:
            raise errors.PlatformAnswerLost(f"Answer lost: {error!r}.") from error
        if answer.status_code != httpx.codes.OK:
            raise errors.PlatformAnswerLost(f"Status {answer.status_code}. Send the order again.")
        return msgspec.json.decode(answer.content, type=protocol.OrderAnswer)

    async def offers(self) -> list[data.Offer]:
        """Read the cloud's offers. Raises PlatformUnavailable."""
        answer = await self._read("/cloud/offers", {})
        return msgspec.json.decode(answer.content, type=list[data.Offer])

    async def close(self) -> None:
        """Close the connections."""
        await self.http.aclose()
