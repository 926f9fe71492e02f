"""An HTTP caller that streams answers, reconnects by its key and records the results."""

import asyncio
import dataclasses
import json
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import httpx

from plumarch.core import data
from plumarch.proof import invariants
from plumarch.standins import model

RETRY_TIMEOUT_S = 90.0
"""How long a caller retries before it gives up. Not a number of attempts, since on a busy machine
all attempts of some seconds may fail to connect."""

RETRY_S = 0.2
TIMEOUT_S = 30.0
CONNECT_S = 3.0
"""Only a busy machine is slow to connect: connections to a lost node are refused at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A workspace, with what its callers need for a request."""

    workspace: str
    token: str
    model: str
    service: str
    ticket_path: str


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """The end time and the result of a caller's attempt."""

    at_ms: int
    result: str


@dataclasses.dataclass(slots=True)
class Outcome:
    """The result of a request, in addition to its CallerView."""

    view: invariants.CallerView
    target: Target
    request_class: data.RequestClass
    first_token_ms: float = -1.0
    total_ms: float = -1.0
    reconnects: int = 0
    attempts: list[Attempt] = dataclasses.field(default_factory=list)

    def note(self, result: str) -> None:
        """Record the result of an attempt."""
        self.attempts.append(Attempt(time.monotonic_ns() // 1_000_000, result))


class Balancer:
    """Picks an entry node at random for each call."""

    def __init__(self, urls: list[str], seed: int) -> None:
        self.urls = list(urls)
        self.rng = random.Random(seed)

    def pick(self) -> str:
        """Return the base URL of an entry node."""
        return self.rng.choice(self.urls)

    def remove(self, url: str) -> None:
        """Stop sending callers to a node."""
        if url in self.urls and len(self.urls) > 1:
            self.urls.remove(url)


class Caller:
    """Sends requests of one target through a balancer."""

    def __init__(self, http: httpx.AsyncClient, balancer: Balancer, target: Target) -> None:
        self.http = http
        self.balancer = balancer
        self.target = target

    def _headers(self, key: str = "", **more: str) -> dict[str, str]:
        headers = {"Authorization": f"Bearer {self.target.token}"}
        if key:
            headers["Idempotency-Key"] = key
        return {**headers, **more}

    def _outcome(
        self, key: str, request_class: data.RequestClass, seed: int, tokens: int
    ) -> Outcome:
        expected = tuple(model.answer(seed, tokens)) if tokens else None
        request = None
        if tokens:
            request = data.Request(
                key, self.target.workspace, "", data.EndpointKind.ENGINE, request_class, key=key
            )
        view = invariants.CallerView(
            key, self.target.workspace, request, expected, key=key, request_id=key
        )
        return Outcome(view, self.target, request_class)

    def _body(self, seed: int, tokens: int, prompt: str) -> dict[str, Any]:
        messages = [
            {"role": "system", "content": f"You work for {self.target.workspace}. " * 8},
            {"role": "user", "content": prompt},
        ]
        return {
            "model": self.target.model,
            "messages": messages,
            "max_tokens": tokens,
            "seed": seed,
        }

    async def chat(self, key: str, seed: int, tokens: int) -> Outcome:
        """Stream a chat answer; reconnect by its key if the connection breaks."""
        outcome = self._outcome(key, data.RequestClass.CHAT, seed, tokens)
        body = {**self._body(seed, tokens, f"Explain {key}."), "stream": True}
        start = time.monotonic()
        await _retry_until_final(outcome, lambda: self._stream(outcome, key, body, start))
        outcome.total_ms = (time.monotonic() - start) * 1000
        return outcome

    async def _stream(self, outcome: Outcome, key: str, body: dict[str, Any], start: float) -> bool:
        """Read a stream until its connection ends. Returns whether the answer is final."""
        view = outcome.view
        url = self.balancer.pick() + "/v1/chat/completions"
        headers = self._headers(key, **{"Last-Event-ID": str(len(view.tokens))})
        async with self.http.stream("POST", url, json=body, headers=headers) as answer:
            if answer.status_code != httpx.codes.OK:
                text = await answer.aread()
                return self._problem(outcome, answer.status_code, text)
            view.accepted = True
            async for line in answer.aiter_lines():
                if line.startswith("data: ") and self._event(outcome, line, start):
                    return True
        return False

    def _event(self, outcome: Outcome, line: str, start: float) -> bool:
        """Record one event. Returns whether the answer is final."""
        view = outcome.view
        if line == "data: [DONE]":
            view.ends.append(data.Outcome.DONE)
            return True
        event = json.loads(line.removeprefix("data: "))
        if "error" in event:
            view.ends.append(data.Outcome(event["error"]["outcome"]))
            return True
        content = event["choices"][0]["delta"].get("content") or ""
        if content and outcome.first_token_ms < 0:
            outcome.first_token_ms = (time.monotonic() - start) * 1000
        view.tokens += [word + " " for word in content.split()]
        return False

    def _problem(self, outcome: Outcome, status: int, text: bytes) -> bool:
        """Record an error. Returns whether it is a final answer."""
        try:
            problem = json.loads(text)
        except ValueError:
            return False
        outcome.view.reasons.append(problem.get("reason", str(status)))
        outcome.note(f"{status} {problem.get('title', '')}: {problem.get('detail', '')}")
        if problem.get("outcome"):
            outcome.view.ends.append(data.Outcome(problem["outcome"]))
            return True
        return False

    async def submit(
        self, key: str, request_class: data.RequestClass, seed: int, tokens: int
    ) -> Outcome:
        """Submit a request of a waiting class, then fetch its result from any node."""
        outcome = self._outcome(key, request_class, seed, tokens)
        body = self._body(seed, tokens, f"Work on {key}.")
        start = time.monotonic()
        headers = self._headers(key, **{"Plumarch-Class": request_class})

        async def submit_once() -> bool:
            url = self.balancer.pick()
            answer = await self.http.post(url + "/v1/requests", json=body, headers=headers)
            outcome.view.accepted = answer.status_code == httpx.codes.ACCEPTED
            return outcome.view.accepted or self._problem(
                outcome, answer.status_code, answer.content
            )

        if await _retry_until_final(outcome, submit_once) and not outcome.view.accepted:
            return outcome
        await _retry_until_final(outcome, lambda: self._fetch_result(outcome, key))
        outcome.total_ms = (time.monotonic() - start) * 1000
        return outcome

    async def _fetch_result(self, outcome: Outcome, key: str) -> bool:
        """Request a result once. Returns whether the answer is final."""
        url = f"{self.balancer.pick()}/v1/requests/{key}/result"
        answer = await self.http.get(url, headers=self._headers())
        if answer.status_code != httpx.codes.OK:
            return self._problem(outcome, answer.status_code, answer.content)
        text = answer.json()["choices"][0]["message"]["content"]
        outcome.view.tokens = [word + " " for word in text.split()]
        outcome.view.ends.append(data.Outcome.DONE)
        return True

    async def lookup(self, key: str) -> Outcome:
        """Make a repeatable call of a plain service."""
        return await self._call(key, "GET", "/status", keyed=False)

    async def ticket(self, key: str) -> Outcome:
        """Make a call that must not run twice; repeat it by its key if the outcome is unknown."""
        return await self._call(key, "POST", self.target.ticket_path, keyed=True)

    async def _call(self, key: str, method: str, path: str, keyed: bool) -> Outcome:
        outcome = self._outcome(key, data.RequestClass.LOOKUP, 0, 0)
        start = time.monotonic()
        headers = self._headers(key if keyed else "")

        async def call_once() -> bool:
            url = f"{self.balancer.pick()}/v1/services/{self.target.service}{path}"
            answer = await self.http.request(method, url, headers=headers)
            if answer.status_code == httpx.codes.OK:
                outcome.view.ends.append(data.Outcome.DONE)
                return True
            return self._problem(outcome, answer.status_code, answer.content)

        await _retry_until_final(outcome, call_once)
        outcome.total_ms = (time.monotonic() - start) * 1000
        return outcome


async def _retry_until_final(outcome: Outcome, attempt: Callable[[], Awaitable[bool]]) -> bool:
    """Retry until an attempt is final or RETRY_TIMEOUT_S have passed; count broken connections.

    Returns:
      Whether one was final.
    """
    until = time.monotonic() + RETRY_TIMEOUT_S
    while time.monotonic() < until:
        try:
            if await attempt():
                return True
        except httpx.HTTPError as error:
            outcome.reconnects += 1
            outcome.note(f"{type(error).__name__} {error}")
        await asyncio.sleep(RETRY_S)
    return False


def client() -> httpx.AsyncClient:
    """Return an HTTP client for callers."""
    timeout = httpx.Timeout(TIMEOUT_S, connect=CONNECT_S)
    limits = httpx.Limits(max_connections=500, max_keepalive_connections=0)
    return httpx.AsyncClient(timeout=timeout, limits=limits)
