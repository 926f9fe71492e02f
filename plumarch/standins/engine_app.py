"""HTTP stand-in for a model engine."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator
from typing import Any

import httpx
import msgspec
from litestar import Litestar, Request, Response, get, post
from litestar.handlers import HTTPRouteHandler
from litestar.response import Stream

from plumarch.endpoints import client
from plumarch.standins import model

AnyRequest = Request[Any, Any, Any]
PREFILL_MS_PER_TOKEN = 0.25
CACHE_PREFIXES = 64
IMPORT_TIMEOUT_S = 1.0


class EngineBody(msgspec.Struct, frozen=True):
    """The fields of a request that the engine uses."""

    model: str
    messages: list[dict[str, Any]]
    max_tokens: int = 16
    seed: int = 0
    priority: int = 0
    continuation: client.Continuation | None = None


class Exported(msgspec.Struct, frozen=True):
    """Answer to a KV export; `tokens` is the number that the KV cache covers."""

    tokens: int


@dataclasses.dataclass(slots=True)
class Generation:
    """A request in the batch."""

    attempt: str
    position: int
    stopped: bool = False


@dataclasses.dataclass(slots=True)
class EngineStandin:
    """State and speed of one engine.

    Attributes:
      delay_ms: added time to first token, which simulates a slow engine.
    """

    models: tuple[str, ...]
    capacity: int = 8
    token_ms: float = 30.0
    tokens_per_event: int = 1
    delay_ms: float = 0.0
    running: dict[str, Generation] = dataclasses.field(default_factory=dict)
    queued: int = 0
    cached: dict[str, None] = dataclasses.field(default_factory=dict)
    made: int = 0
    recomputed: int = 0
    started: list[str] = dataclasses.field(default_factory=list)
    slots: asyncio.Semaphore | None = None

    def semaphore(self) -> asyncio.Semaphore:
        """Return the semaphore that bounds the batch."""
        if self.slots is None:
            self.slots = asyncio.Semaphore(self.capacity)
        return self.slots

    def export(self, attempt: str) -> int | None:
        """Stop a generation and export its KV cache.

        Returns:
          The number of tokens covered, or None for an unknown generation.
        """
        generation = self.running.get(attempt)
        if generation is None:
            return None
        generation.stopped = True
        return generation.position

    def prefill_tokens(self, body: EngineBody) -> int:
        """Return the number of prompt tokens that the prefix cache does not cover."""
        text = msgspec.json.encode(body.messages)
        prompt_tokens = max(1, len(text) // 4)
        prefix = str(body.messages[0].get("content", ""))
        hit = prefix in self.cached
        self.cached.pop(prefix, None)
        self.cached[prefix] = None
        if len(self.cached) > CACHE_PREFIXES:
            del self.cached[next(iter(self.cached))]
        return max(1, prompt_tokens - len(prefix) // 4) if hit else prompt_tokens

    async def generate(self, body: EngineBody) -> AsyncIterator[bytes]:
        """Stream the events of one generation."""
        wanted = body.continuation or client.Continuation("", [], "", "")
        generation = Generation(wanted.attempt, len(wanted.tokens))
        self.started.append(wanted.attempt)
        del self.started[:-1000]
        self.queued += 1
        async with self.semaphore():
            self.queued -= 1
            self.running[wanted.attempt] = generation
            try:
                recomputed = await self._prefill(body, wanted)
                async for event in self._decode(body, generation, recomputed):
                    yield event
            finally:
                self.running.pop(wanted.attempt, None)

    async def _prefill(self, body: EngineBody, wanted: client.Continuation) -> int:
        """Prefill the context and return the number of tokens recomputed after a retry."""
        if wanted.import_from and await _import(wanted):
            return 0
        computed = self.prefill_tokens(body) + len(wanted.tokens)
        retry_number = wanted.attempt.rpartition("/")[2]
        first = retry_number.isdigit() and int(retry_number) % 1_000 <= 1 and not wanted.tokens
        await asyncio.sleep((computed * PREFILL_MS_PER_TOKEN + self.delay_ms) / 1000)
        return 0 if first else computed

    async def _decode(
        self, body: EngineBody, generation: Generation, recomputed: int
    ) -> AsyncIterator[bytes]:
        self.recomputed += recomputed
        while generation.position < body.max_tokens:
            count = min(self.tokens_per_event, body.max_tokens - generation.position)
            await asyncio.sleep(self.token_ms * count / 1000)
            if generation.stopped:
                return
            start = generation.position
            tokens = [model.token(body.seed, start + n) for n in range(count)]
            generation.position += count
            self.made += count
            last = generation.position >= body.max_tokens
            event = client.StreamEvent(
                generation.attempt,
                [client.Choice(client.Delta("".join(tokens)), "stop" if last else None)],
                start,
                tokens,
                recomputed,
            )
            yield client.DATA + msgspec.json.encode(event) + client.EVENT_END
        yield client.DATA + client.DONE + client.EVENT_END


async def _import(wanted: client.Continuation) -> bool:
    """Import a KV cache from another engine.

    Returns:
      Whether it covers all tokens of the continuation.
    """
    url = f"{wanted.import_from}/kv/export"
    try:
        async with httpx.AsyncClient(timeout=IMPORT_TIMEOUT_S) as http:
            answer = await http.post(url, json={"attempt": wanted.import_attempt})
    except httpx.HTTPError:
        return False
    if answer.status_code != httpx.codes.OK:
        return False
    exported = msgspec.json.decode(answer.content, type=Exported)
    return exported.tokens >= len(wanted.tokens)


def handlers(engine: EngineStandin) -> list[HTTPRouteHandler]:
    """Return the route handlers of an engine."""

    @post("/v1/chat/completions", status_code=200)
    async def completions(request: AnyRequest) -> Response[Any]:
        body = msgspec.json.decode(await request.body(), type=EngineBody)
        if body.model not in engine.models:
            return Response("no such model", status_code=503)
        return Stream(engine.generate(body), media_type="text/event-stream")

    @post("/kv/export", status_code=200)
    async def export(request: AnyRequest) -> Response[Any]:
        export_request = msgspec.json.decode(await request.body(), type=dict[str, str])
        tokens = engine.export(export_request.get("attempt", ""))
        if tokens is None:
            return Response("no such generation", status_code=404)
        return Response(Exported(tokens))

    @get("/load")
    async def load() -> Response[Any]:
        return Response(client.LoadAnswer(len(engine.running), engine.queued))

    return [completions, export, load]


def build(engine: EngineStandin) -> Litestar:
    """Build the engine's application."""
    return Litestar(handlers(engine), openapi_config=None, logging_config=None)
