"""HTTP clients of model engines and plain services.

Engines and repeatable calls use aiohttp, which reads streams at less cost but may resend a call
when a reused connection breaks. Calls that must not run twice use httpx, which never resends.
"""

from collections.abc import AsyncIterator, Mapping

import aiohttp
import httpx
import msgspec
import yarl

from plumarch.core import answer_limits, data, errors, events, request_rate, retry_after
from plumarch.endpoints import protocol

CONNECT_S = 2.0
READ_S = 30.0
EVENT_END = b"\n\n"
DATA = b"data: "
DONE = b"[DONE]"

PRIORITY = {name: number for number, name in enumerate(data.RequestClass)}

NOT_DELIVERED_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    errors.NotDelivered,
)
"""Errors that prove that the endpoint did not act on the request."""

FAILURE_ERRORS = (
    httpx.HTTPError,
    httpx.StreamError,
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    errors.EndpointError,
)

BROKEN_CONNECTION_ERRORS = (
    httpx.ReadError,
    httpx.RemoteProtocolError,
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientOSError,
    aiohttp.ClientPayloadError,
    errors.DeliveryUnknown,
)
"""Errors of connections that broke while their request ran."""

MAX_CONNECTIONS = 4_000
KEEP_ALIVE_S = 2.0
JSON = {"Content-Type": "application/json"}
OCTETS = "application/octet-stream"


class Continuation(msgspec.Struct, frozen=True):
    """Where an engine continues: the tokens so far, and who may export their KV cache."""

    attempt: str
    tokens: list[str]
    import_from: str
    import_attempt: str


class Delta(msgspec.Struct, frozen=True):
    """The new content of a streamed choice."""

    content: str | None = None


class Choice(msgspec.Struct, frozen=True):
    """A streamed choice."""

    delta: Delta = Delta()
    finish_reason: str | None = None


class StreamEvent(msgspec.Struct, frozen=True):
    """One event of an engine's stream.

    Attributes:
      id: the attempt that it belongs to.
      tokens: the single tokens, from engines that put several into an event.
    """

    id: str
    choices: list[Choice]
    position: int = -1
    tokens: list[str] | None = None
    recomputed: int = 0


class LoadAnswer(msgspec.Struct, frozen=True):
    """An engine's report of its load."""

    running: int
    queued: int


STREAM_DECODER = msgspec.json.Decoder(StreamEvent)


def attempt_name(request_id: str, attempt: int) -> str:
    """Return an attempt's name at endpoints."""
    return f"{request_id}/{attempt}"


class HttpEndpoints:
    """The client of all endpoints."""

    def __init__(self) -> None:
        # Closes idle connections before servers usually do: of a request on a connection that the
        # server has just closed, it is unknown whether it ran.
        limits = httpx.Limits(max_connections=MAX_CONNECTIONS, keepalive_expiry=KEEP_ALIVE_S)
        timeout = httpx.Timeout(READ_S, connect=CONNECT_S)
        self.once = httpx.AsyncClient(timeout=timeout, limits=limits)
        self.session: aiohttp.ClientSession | None = None
        self.rate_limited: set[str] = set()

    def repeatable(self) -> aiohttp.ClientSession:
        """Return the session for engines and repeatable calls; needs a running event loop."""
        if self.session is None:
            connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS, keepalive_timeout=KEEP_ALIVE_S)
            timeout = aiohttp.ClientTimeout(total=None, connect=CONNECT_S, sock_read=READ_S)
            self.session = aiohttp.ClientSession(
                connector=connector, timeout=timeout, auto_decompress=False
            )
        return self.session

    async def run(self, order: events.HandOver, sink: protocol.Sink) -> None:
        """Send a request and report its progress to the sink."""
        request = order.request
        try:
            if request.kind is data.EndpointKind.ENGINE:
                await self._run_engine(order, sink)
            elif request.repeatable:
                await self._run_service(order, sink)
            else:
                await self._run_once(order, sink)
        except NOT_DELIVERED_ERRORS as error:
            backoff_ms = error.backoff_ms if isinstance(error, errors.NotDelivered) else 0.0
            sink(
                events.EndpointFailed(
                    request.id, order.attempt, False, repr(error), backoff_ms=backoff_ms
                )
            )
        except FAILURE_ERRORS as error:
            broken = isinstance(error, BROKEN_CONNECTION_ERRORS)
            sink(events.EndpointFailed(request.id, order.attempt, True, repr(error), broken))
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            why = f"not an engine's stream: {error}"
            sink(events.EndpointFailed(request.id, order.attempt, True, why))

    async def _run_once(self, order: events.HandOver, sink: protocol.Sink) -> None:
        request = order.request
        url = order.endpoint.address + request.path
        call = self.once.stream(
            request.method, url, content=request.body, headers=_service_headers(order)
        )
        async with call as answer:
            _check_status(answer.status_code)
            self._report_rate(order, sink, answer.status_code, answer.headers)
            content = await _read_body(answer.aiter_bytes())
            content_type = answer.headers.get("content-type", OCTETS)
            _report_reply(order, sink, answer.status_code, content_type, content)

    async def _run_service(self, order: events.HandOver, sink: protocol.Sink) -> None:
        request = order.request
        url = yarl.URL(order.endpoint.address + request.path, encoded=True)
        call = self.repeatable().request(
            request.method,
            url,
            data=request.body,
            headers=_service_headers(order),
            allow_redirects=False,
        )
        async with call as answer:
            _check_status(answer.status)
            self._report_rate(order, sink, answer.status, answer.headers)
            content = await _read_body(answer.content.iter_any())
            content_type = answer.headers.get("content-type", OCTETS)
            _report_reply(order, sink, answer.status, content_type, content)

    async def _run_engine(self, order: events.HandOver, sink: protocol.Sink) -> None:
        request = order.request
        name = attempt_name(request.id, order.attempt)
        url = order.endpoint.address + "/v1/chat/completions"
        body = self._engine_body(order, name)
        async with self.repeatable().post(url, data=body, headers=JSON) as answer:
            self._report_rate(order, sink, answer.status, answer.headers)
            if answer.status == httpx.codes.SERVICE_UNAVAILABLE:
                backoff_ms = retry_after.milliseconds(answer.headers.get(retry_after.HEADER, ""))
                raise errors.NotDelivered("The engine rejected the request.", backoff_ms)
            if answer.status != httpx.codes.OK:
                raise errors.EndpointError(f"The engine answered {answer.status}.")
            recomputed = await self._read_stream(order, name, answer, sink)
        reply = data.Reply(200, "text/event-stream")
        sink(events.EndpointDone(request.id, order.attempt, reply, recomputed))

    def _report_rate(
        self, order: events.HandOver, sink: protocol.Sink, status: int, headers: Mapping[str, str]
    ) -> None:
        """Report the request rate that an answer announces, or that it no longer announces one.

        A rejection without a rate does not end a limit.
        """
        name, value = order.endpoint.name, headers.get(request_rate.HEADER, "")
        per_s = request_rate.per_second(value)
        if value and per_s is None:
            return
        if per_s is not None:
            self.rate_limited.add(name)
        elif name in self.rate_limited and status != httpx.codes.SERVICE_UNAVAILABLE:
            self.rate_limited.discard(name)
        else:
            return
        sink(events.EndpointRate(order.request.id, order.attempt, per_s))

    async def _read_stream(
        self,
        order: events.HandOver,
        name: str,
        answer: aiohttp.ClientResponse,
        sink: protocol.Sink,
    ) -> int:
        """Report a stream's tokens to the sink. Returns the number of tokens computed again."""
        position = len(order.tokens)
        recomputed = 0
        finished = False
        async for batch in _event_batches(answer):
            tokens: list[str] = []
            for event in batch:
                if event.id != name:
                    raise errors.EndpointError("The stream belongs to another attempt.")
                if event.position >= 0 and event.position != position + len(tokens):
                    raise errors.EndpointError("Tokens are missing from the stream.")
                tokens += _tokens_of(event)
                recomputed = max(recomputed, event.recomputed)
                finished = finished or _is_finished(event)
            if tokens:
                new_tokens = tuple(tokens)
                sink(events.EndpointTokens(order.request.id, order.attempt, position, new_tokens))
                position += len(tokens)
        if not finished:
            raise errors.DeliveryUnknown("The stream ended before the answer was complete.")
        return recomputed

    def _engine_body(self, order: events.HandOver, name: str) -> bytes:
        request = order.request
        chat_body = msgspec.json.decode(request.body) if request.body else {}
        source = ""
        if order.import_from:
            source = attempt_name(request.id, order.import_attempt)
        chat_body.update(
            stream=True,
            max_tokens=request.max_tokens,
            seed=request.seed,
            priority=PRIORITY[request.request_class],
            continuation=Continuation(name, list(order.tokens), order.import_from, source),
        )
        return msgspec.json.encode(chat_body)

    async def load(self, endpoint: data.Endpoint) -> data.LoadReport:
        """Return an endpoint's load. Raises EndpointError."""
        try:
            async with self.repeatable().get(endpoint.address + "/load") as answer:
                content = await _read_body(answer.content.iter_any())
                found = msgspec.json.decode(content, type=LoadAnswer)
        except (
            aiohttp.ClientError,
            TimeoutError,
            msgspec.MsgspecError,
            errors.EndpointError,
        ) as error:
            raise errors.EndpointError(f"{endpoint.name} reports no load: {error!r}.") from error
        return data.LoadReport(endpoint.name, found.running, found.queued)

    async def close(self) -> None:
        """Close the connections."""
        await self.once.aclose()
        if self.session is not None:
            await self.session.close()


def _service_headers(order: events.HandOver) -> dict[str, str]:
    request = order.request
    return {
        "Content-Type": request.content_type,
        "Idempotency-Key": request.key or request.id,
        "Plumarch-Workspace": request.workspace,
        "Plumarch-Fencing-Token": str(order.fencing_token),
    }


def _check_status(status: int) -> None:
    if status not in answer_limits.FINAL_STATUSES:
        raise errors.EndpointError(f"{status} is no status of HTTP.")


async def _read_body(parts: AsyncIterator[bytes]) -> bytes:
    """Read an answer's body.

    Raises:
      EndpointError: it is too long.
    """
    body = bytearray()
    async for part in parts:
        body += part
        if len(body) > answer_limits.MAX_BODY_BYTES:
            raise errors.EndpointError(f"The answer exceeds {answer_limits.MAX_BODY_BYTES} bytes.")
    return bytes(body)


def _report_reply(
    order: events.HandOver, sink: protocol.Sink, status: int, content_type: str, body: bytes
) -> None:
    if status == httpx.codes.PRECONDITION_FAILED:
        raise errors.NotDelivered("The endpoint rejected the fencing token as stale.")
    reply = data.Reply(status, content_type, body)
    sink(events.EndpointDone(order.request.id, order.attempt, reply))


def _tokens_of(event: StreamEvent) -> list[str]:
    if event.tokens is not None:
        return event.tokens
    return [c.delta.content for c in event.choices if c.delta.content]


def _is_finished(event: StreamEvent) -> bool:
    return any(choice.finish_reason is not None for choice in event.choices)


async def _event_batches(answer: aiohttp.ClientResponse) -> AsyncIterator[list[StreamEvent]]:
    """Yield the events of a stream in batches of those that arrived together.

    One batch wakes the node once, also when an engine sends several events in one packet.
    """
    remainder = b""
    async for part in answer.content.iter_any():
        *complete, remainder = (remainder + part).split(EVENT_END)
        if len(remainder) > answer_limits.MAX_EVENT_BYTES:
            raise errors.EndpointError(f"An event exceeds {answer_limits.MAX_EVENT_BYTES} bytes.")
        batch = [
            STREAM_DECODER.decode(text[len(DATA) :])
            for text in complete
            if text.startswith(DATA) and not text.startswith(DATA + DONE)
        ]
        if batch:
            yield batch
