"""Model engines and plain services over HTTP."""

from collections.abc import AsyncIterator

import httpx
import msgspec

from plumarch.core import data, errors, events
from plumarch.endpoints import protocol

CONNECT_S = 2.0
READ_S = 30.0
EVENT_END = b"\n\n"
DATA = b"data: "
DONE = b"[DONE]"

PRIORITY = {name: number for number, name in enumerate(data.RequestClass)}

NEVER_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
"""Errors that come before a byte of the request is written."""


class Continuation(msgspec.Struct, frozen=True):
    """Where an engine goes on: tokens made so far, and who may export their KV cache."""

    attempt: str
    tokens: list[str]
    import_from: str
    import_attempt: str


class Delta(msgspec.Struct, frozen=True):
    """The news in a streamed choice."""

    content: str | None = None


class Choice(msgspec.Struct, frozen=True):
    """A streamed choice."""

    delta: Delta = Delta()
    finish_reason: str | None = None


class StreamEvent(msgspec.Struct, frozen=True):
    """One event of an engine's stream.

    Attributes:
      id: the attempt it belongs to; another one's event is not ours.
      tokens: the tokens one by one, from engines that put several into an event.
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
    """Return the name by which an endpoint knows an attempt."""
    return f"{request_id}/{attempt}"


class HttpEndpoints:
    """The client of all endpoints."""

    def __init__(self) -> None:
        timeout = httpx.Timeout(READ_S, connect=CONNECT_S)
        limits = httpx.Limits(max_connections=4_000, max_keepalive_connections=200)
        # Idle connections are closed before servers usually do: a request sent on a
        # connection that the server has just closed could neither be called run nor not.
        limits = httpx.Limits(
            max_connections=limits.max_connections,
            max_keepalive_connections=limits.max_keepalive_connections,
            keepalive_expiry=2.0,
        )
        self.http = httpx.AsyncClient(timeout=timeout, limits=limits)

    async def run(self, order: events.HandOver, sink: protocol.Sink) -> None:
        """Hand a request over and report on it."""
        request = order.request
        try:
            if request.kind is data.EndpointKind.ENGINE:
                await self._run_engine(order, sink)
            else:
                await self._run_service(order, sink)
        except NEVER_SENT as error:
            sink(events.EndpointFailed(request.id, order.attempt, False, repr(error)))
        except errors.NotDelivered as error:
            sink(events.EndpointFailed(request.id, order.attempt, False, str(error)))
        except (httpx.HTTPError, httpx.StreamError, errors.EndpointError) as error:
            sink(events.EndpointFailed(request.id, order.attempt, True, repr(error)))
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            why = f"not an engine's stream: {error}"
            sink(events.EndpointFailed(request.id, order.attempt, True, why))

    async def _run_service(self, order: events.HandOver, sink: protocol.Sink) -> None:
        request = order.request
        headers = {
            "Content-Type": request.content_type,
            "Idempotency-Key": request.key or request.id,
            "Plumarch-Workspace": request.workspace,
            "Plumarch-Fencing-Token": str(order.fencing_token),
        }
        url = order.endpoint.address + request.path
        answer = await self.http.request(request.method, url, content=request.body, headers=headers)
        if answer.status_code == httpx.codes.PRECONDITION_FAILED:
            raise errors.NotDelivered("The endpoint refused the fencing token as too old.")
        content_type = answer.headers.get("content-type", "application/octet-stream")
        reply = data.Reply(answer.status_code, content_type, answer.content)
        sink(events.EndpointDone(request.id, order.attempt, reply))

    async def _run_engine(self, order: events.HandOver, sink: protocol.Sink) -> None:
        request = order.request
        name = attempt_name(request.id, order.attempt)
        body = self._engine_body(order, name)
        url = order.endpoint.address + "/v1/chat/completions"
        headers = {"Content-Type": "application/json"}
        position = len(order.tokens)
        recomputed = 0
        async with self.http.stream("POST", url, content=body, headers=headers) as answer:
            if answer.status_code == httpx.codes.SERVICE_UNAVAILABLE:
                raise errors.NotDelivered("The engine refused the request.")
            if answer.status_code != httpx.codes.OK:
                raise errors.EndpointError(f"The engine answered {answer.status_code}.")
            finished = False
            async for batch in _event_batches(answer):
                tokens: list[str] = []
                for event in batch:
                    if event.id != name:
                        raise errors.EndpointError("The stream is another attempt's.")
                    if event.position >= 0 and event.position != position + len(tokens):
                        raise errors.EndpointError("Tokens are missing from the stream.")
                    tokens += _tokens_of(event)
                    recomputed = max(recomputed, event.recomputed)
                    finished = finished or _is_finished(event)
                if tokens:
                    news = tuple(tokens)
                    sink(events.EndpointTokens(request.id, order.attempt, position, news))
                    position += len(tokens)
            if not finished:
                raise errors.DeliveryUnknown("The stream ended before the answer did.")
        reply = data.Reply(200, "text/event-stream")
        sink(events.EndpointDone(request.id, order.attempt, reply, recomputed))

    def _engine_body(self, order: events.HandOver, name: str) -> bytes:
        request = order.request
        asked = msgspec.json.decode(request.body) if request.body else {}
        source = ""
        if order.import_from:
            source = attempt_name(request.id, order.import_attempt)
        asked.update(
            stream=True,
            max_tokens=request.max_tokens,
            seed=request.seed,
            priority=PRIORITY[request.request_class],
            continuation=Continuation(name, list(order.tokens), order.import_from, source),
        )
        return msgspec.json.encode(asked)

    async def load(self, endpoint: data.Endpoint) -> data.LoadReport:
        """Read an endpoint's load. Raises EndpointError."""
        try:
            answer = await self.http.get(endpoint.address + "/load", timeout=CONNECT_S)
            found = msgspec.json.decode(answer.content, type=LoadAnswer)
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            raise errors.EndpointError(f"{endpoint.name} reports no load: {error!r}.") from error
        return data.LoadReport(endpoint.name, found.running, found.queued)

    async def close(self) -> None:
        """Close the connections."""
        await self.http.aclose()


def _tokens_of(event: StreamEvent) -> list[str]:
    if event.tokens is not None:
        return event.tokens
    return [c.delta.content for c in event.choices if c.delta.content]


def _is_finished(event: StreamEvent) -> bool:
    return any(choice.finish_reason is not None for choice in event.choices)


async def _event_batches(answer: httpx.Response) -> AsyncIterator[list[StreamEvent]]:
    """Yield the events of a stream, all that arrived together at once.

    Decoding what is there in one go keeps the decisions from being woken for each
    event when an engine sends several in one packet.
    """
    rest = b""
    async for part in answer.aiter_raw():
        *whole, rest = (rest + part).split(EVENT_END)
        batch = [
            STREAM_DECODER.decode(text[len(DATA) :])
            for text in whole
            if text.startswith(DATA) and not text.startswith(DATA + DONE)
        ]
        if batch:
            yield batch
