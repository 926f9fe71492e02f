"""The callers' HTTP listener."""

import asyncio
import hashlib
from collections.abc import AsyncIterator
from typing import Any

import msgspec
from litestar import HttpMethod, Litestar, Request, Response, delete, get, post, route
from litestar.exceptions import HTTPException
from litestar.handlers import HTTPRouteHandler
from litestar.response import Stream

from plumarch.core import data, events, hashing, numerals
from plumarch.daemon import chat, problems, shell, streams
from plumarch.recovery import keys

KEY = "Idempotency-Key"
CLASS = "Plumarch-Class"
TIMEOUT = "Plumarch-Timeout-Ms"
REPEATABLE = "Plumarch-Repeatable"
REQUEST_ID = "Plumarch-Request-Id"
WEAKENED = "Plumarch-Weakened"
LAST_EVENT = "Last-Event-ID"

MAX_KEY_LENGTH = 200
MAX_TIMEOUT_MS = 24 * 3_600_000
DEFAULT_TIMEOUT_MS = {
    data.RequestClass.LOOKUP: 5_000,
    data.RequestClass.CHAT: 120_000,
    data.RequestClass.DRAFT: 3_600_000,
    data.RequestClass.REVIEW: 3_600_000,
}
STATUS_WAIT_S = 0.3
NO_TOKENS = 1 << 40
"""A position past every answer's end, for readers without need of tokens."""

AnyRequest = Request[Any, Any, Any]
MODEL_CLASSES = frozenset(
    {data.RequestClass.CHAT, data.RequestClass.DRAFT, data.RequestClass.REVIEW}
)


class CallersApi:
    """Handlers of the callers' API."""

    def __init__(self, node_shell: shell.Shell) -> None:
        self.shell = node_shell
        self.limits = node_shell.settings.limits
        self.by_token: dict[str, data.Workspace] = {}
        self.by_token_revision = -1

    def workspace(self, request: AnyRequest) -> data.Workspace:
        """Return the workspace of the request's token.

        Raises:
          CallerFault: no workspace has that token.
        """
        config = self.shell.node.config
        if self.by_token_revision != config.revision:
            self.by_token = {w.token_digest: w for w in config.workspaces.values()}
            self.by_token_revision = config.revision
        kind, _, token = request.headers.get("authorization", "").partition(" ")
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        found = self.by_token.get(digest)
        if kind.lower() != "bearer" or found is None:
            raise problems.CallerFault(
                401,
                "Unknown token",
                "The request carries no token of a workspace.",
                "Send Authorization: Bearer TOKEN.",
            )
        return found

    async def body(self, request: AnyRequest) -> bytes:
        """Read the body.

        Raises:
          CallerFault: it exceeds the limit.
        """
        limit = self.limits.body_bytes
        announced = request.headers.get("content-length", "0")
        if (numerals.whole_number(announced) or 0) > limit:
            raise _too_long(limit)
        parts = []
        size = 0
        async for part in request.stream():
            size += len(part)
            if size > limit:
                raise _too_long(limit)
            parts.append(part)
        return b"".join(parts)

    def _key(self, request: AnyRequest) -> str:
        key = request.headers.get(KEY, "").strip()
        if len(key) > MAX_KEY_LENGTH or not key.isprintable():
            raise problems.CallerFault(
                400, "Bad key", f"{KEY} is too long or not printable.", "Send a shorter key."
            )
        return key

    def _timeout(self, request: AnyRequest, request_class: data.RequestClass) -> int:
        return _integer_header(
            request, TIMEOUT, DEFAULT_TIMEOUT_MS[request_class], 1, MAX_TIMEOUT_MS
        )

    def _position(self, request: AnyRequest) -> int:
        return _integer_header(request, LAST_EVENT, 0, 0, NO_TOKENS)

    def _class(self, request: AnyRequest, default: data.RequestClass) -> data.RequestClass:
        name = request.headers.get(CLASS, default)
        if name not in MODEL_CLASSES:
            wanted = ", ".join(sorted(MODEL_CLASSES))
            raise problems.CallerFault(
                400, "Unknown class", f"{CLASS}: {name!r}", f"Use one of: {wanted}."
            )
        return data.RequestClass(name)

    def model_request(
        self, request: AnyRequest, body: bytes, default: data.RequestClass
    ) -> tuple[data.Request, chat.ChatBody]:
        """Make a request from a chat body and headers.

        Raises:
          CallerFault: the request is invalid.
        """
        workspace = self.workspace(request)
        chat_body = chat.parse(body)
        if chat_body.model != workspace.model:
            raise problems.CallerFault(
                404,
                "Unknown model",
                f"The workspace has no model {chat_body.model!r}.",
                f"Ask for {workspace.model!r}.",
            )
        request_class = self._class(request, default)
        key = self._key(request)
        request_id = self.shell.new_request_id()
        seed = chat_body.seed
        if seed is None:
            seed = hashing.digest(workspace.name, key or request_id) >> 16
        made = data.Request(
            request_id,
            workspace.name,
            workspace.model,
            data.EndpointKind.ENGINE,
            request_class,
            body,
            key=key,
            minted_epoch=keys.issued_epoch(key),
            fingerprint=hashing.digest(body) >> 1,
            repeatable=request.headers.get(REPEATABLE, "true").lower() != "false",
            prompt_tokens=chat.prompt_tokens(body),
            max_tokens=chat.wanted_tokens(chat_body),
            seed=seed,
            prefix=chat.prefix_of(chat_body) >> 1,
            timeout_ms=self._timeout(request, request_class),
        )
        return made, chat_body

    def service_request(
        self, request: AnyRequest, name: str, path: str, body: bytes
    ) -> data.Request:
        """Make a request for a plain service.

        Raises:
          CallerFault: the workspace has no such service.
        """
        workspace = self.workspace(request)
        service = workspace.services.get(name)
        if service is None:
            known = ", ".join(sorted(workspace.services)) or "none"
            raise problems.CallerFault(
                404, "Unknown service", f"There is no service {name!r}.", f"There are: {known}."
            )
        query = request.url.query
        target = path + (f"?{query}" if query else "")
        marked = request.headers.get(REPEATABLE, "").lower() == "false"
        repeatable = not marked and not _is_marked(service, request.method, path)
        request_class = service.request_class
        return data.Request(
            self.shell.new_request_id(),
            workspace.name,
            name,
            data.EndpointKind.SERVICE,
            request_class,
            body,
            request.method,
            target,
            request.headers.get("content-type", "application/json"),
            self._key(request),
            keys.issued_epoch(self._key(request)),
            hashing.digest(request.method, target, body) >> 1,
            repeatable,
            timeout_ms=self._timeout(request, request_class),
        )

    async def chat_completions(self, request: AnyRequest) -> Response[Any] | Stream:
        """Answer a chat request, streamed or complete."""
        body = await self.body(request)
        made, chat_body = self.model_request(request, body, data.RequestClass.CHAT)
        position = self._position(request)
        stream = self.shell.new_stream()
        self.shell.handle(events.Arrived(stream.watcher_id, made, position))
        if chat_body.stream:
            return await self._streamed(stream, chat_body.model, position)
        return await self._answer_complete(stream, made, chat_body.model)

    async def _streamed(
        self, stream: streams.CallerStream, model: str, position: int
    ) -> Response[Any] | Stream:
        try:
            await stream.wait_started()
        except BaseException:
            self.shell.release(stream)
            raise
        if stream.end is not None and not streams.is_done(stream.end) and not stream.tokens:
            self.shell.release(stream)
            return problems.response(problems.of_end(stream.end, _key_of(stream)))
        headers = {"Cache-Control": "no-store", **_headers(stream)}
        events_out = self._sse(stream, model, position)
        return Stream(events_out, media_type="text/event-stream", headers=headers)

    async def _sse(
        self, stream: streams.CallerStream, model: str, position: int
    ) -> AsyncIterator[bytes]:
        window = self.limits.coalesce_ms
        request_id = stream.accepted.request_id if stream.accepted else stream.watcher_id
        try:
            # Sends the first token at once, later ones in batches.
            batch = await stream.next_batch(0)
            while batch is not None:
                position = batch.position
                text = "".join(batch.tokens)
                yield chat.sse(position, chat.chunk(request_id, model, text, None))
                batch = await stream.next_batch(window)
            end = await stream.wait_end()
            if streams.is_done(end):
                yield chat.sse(position, chat.chunk(request_id, model, None, "stop"))
                yield chat.SSE_DONE
            else:
                problem = problems.of_end(end, _key_of(stream))
                yield chat.sse(position, {"error": problem})
        finally:
            self.shell.release(stream)

    async def _answer_complete(
        self, stream: streams.CallerStream, made: data.Request, model: str
    ) -> Response[Any]:
        try:
            end = await stream.wait_end()
        finally:
            self.shell.release(stream)
        if not streams.is_done(end):
            return problems.response(problems.of_end(end, _key_of(stream) or made.key))
        return self._completion(stream, end, model, made.prompt_tokens)

    def _completion(
        self, stream: streams.CallerStream, end: events.TellEnd, model: str, prompt: int
    ) -> Response[Any]:
        text = "".join(stream.tokens)
        body = chat.completion(end.request_id, model, text, prompt, len(stream.tokens))
        return Response(
            msgspec.json.encode(body),
            media_type="application/json",
            status_code=200,
            headers=_headers(stream),
        )

    async def submit(self, request: AnyRequest) -> Response[Any]:
        """Accept a request of a waiting class before it runs."""
        body = await self.body(request)
        made, _ = self.model_request(request, body, data.RequestClass.REVIEW)
        if made.request_class not in data.WAITING_CLASSES:
            raise problems.CallerFault(
                400, "Not a waiting class", f"{CLASS}: chat", "Use review or draft."
            )
        stream = self.shell.new_stream()
        self.shell.handle(events.Arrived(stream.watcher_id, made, NO_TOKENS))
        try:
            await stream.wait_started()
        finally:
            self.shell.release(stream)
        if stream.end is not None and not streams.is_done(stream.end):
            return problems.response(problems.of_end(stream.end, _key_of(stream) or made.key))
        key = _key_of(stream) or made.key
        answer = {
            "key": key,
            "status": "accepted",
            "result": f"/v1/requests/{key}/result",
            "events": f"/v1/requests/{key}/events",
            "weakened": stream.accepted.weakened if stream.accepted else "",
        }
        return Response(answer, status_code=202, headers=_headers(stream))

    async def status(self, request: AnyRequest, key: str) -> Response[Any]:
        """Return a request's status."""
        stream = self._attach(request, key, NO_TOKENS)
        try:
            await stream.wait_started()
            if stream.end is None:
                # Only another node may know whether it has ended.
                try:
                    async with asyncio.timeout(STATUS_WAIT_S):
                        await stream.wait_end()
                except TimeoutError:
                    pass
        finally:
            self.shell.release(stream)
        if stream.end is None:
            return Response({"key": key, "status": data.Outcome.RUNNING})
        if not streams.is_done(stream.end):
            problem = problems.of_end(stream.end, key)
            if problem.status == 404:
                return problems.response(problem)
            answer = {"key": key, "status": problem.outcome, "reason": problem.reason}
            return Response(answer)
        return Response({"key": key, "status": data.Outcome.DONE})

    async def result(self, request: AnyRequest, key: str) -> Response[Any]:
        """Return a request's complete answer."""
        workspace = self.workspace(request)
        stream = self._attach(request, key, 0)
        try:
            end = await stream.wait_end()
        finally:
            self.shell.release(stream)
        if not streams.is_done(end):
            return problems.response(problems.of_end(end, key))
        if end.reply is not None and not end.reply.tokens and end.reply.body:
            return _forwarded(end.reply, stream)
        return self._completion(stream, end, workspace.model, 0)

    async def event_stream(self, request: AnyRequest, key: str) -> Response[Any] | Stream:
        """Stream a request's answer from a position."""
        workspace = self.workspace(request)
        position = self._position(request)
        stream = self._attach(request, key, position)
        return await self._streamed(stream, workspace.model, position)

    def _attach(self, request: AnyRequest, key: str, position: int) -> streams.CallerStream:
        workspace = self.workspace(request)
        stream = self.shell.new_stream()
        self.shell.handle(events.Attach(stream.watcher_id, workspace.name, key, position))
        return stream

    def cancel(self, request: AnyRequest, key: str) -> Response[Any]:
        """Cancel a request."""
        workspace = self.workspace(request)
        self.shell.handle(events.CancelAsked(workspace.name, key))
        return Response({"key": key, "status": "cancelling"}, status_code=202)

    def issue_key(self, request: AnyRequest) -> Response[Any]:
        """Issue a key that is recognised as new even after a slot takeover."""
        self.workspace(request)
        issued = self.shell.node.home.issue_key(self.shell.new_request_id())
        if issued is None:
            end = events.TellEnd("", "", data.Outcome.NOT_RUN, data.Reason.NO_OWNER)
            return problems.response(problems.of_end(end, ""))
        return Response({"key": issued[0]}, status_code=201)

    async def call_service(self, request: AnyRequest, name: str, path: str) -> Response[Any]:
        """Call a plain service."""
        body = await self.body(request)
        made = self.service_request(request, name, "/" + path.lstrip("/"), body)
        stream = self.shell.new_stream()
        self.shell.handle(events.Arrived(stream.watcher_id, made))
        try:
            end = await stream.wait_end()
        finally:
            self.shell.release(stream)
        if not streams.is_done(end) or end.reply is None:
            return problems.response(problems.of_end(end, _key_of(stream) or made.key))
        return _forwarded(end.reply, stream)


def _forwarded(reply: data.Reply, stream: streams.CallerStream) -> Response[bytes]:
    return Response(
        reply.body,
        status_code=reply.status,
        media_type=reply.content_type,
        headers=_headers(stream),
    )


def _key_of(stream: streams.CallerStream) -> str:
    return stream.accepted.key if stream.accepted else ""


def _headers(stream: streams.CallerStream) -> dict[str, str]:
    headers = {}
    if stream.accepted is not None:
        headers[REQUEST_ID] = stream.accepted.request_id
        if stream.accepted.key:
            headers[KEY] = stream.accepted.key
        if stream.accepted.weakened:
            headers[WEAKENED] = stream.accepted.weakened
    return headers


def _is_marked(service: data.Service, method: str, path: str) -> bool:
    for pattern in service.not_repeatable:
        marked_method, _, prefix = pattern.partition(" ")
        if method == marked_method and path.startswith(prefix):
            return True
    return False


def _too_long(limit: int) -> problems.CallerFault:
    return problems.CallerFault(
        413, "Body too long", f"The body is over {limit} bytes.", "Send a shorter one."
    )


def _integer_header(request: AnyRequest, header: str, default: int, least: int, most: int) -> int:
    text = request.headers.get(header)
    if text is None:
        return default
    number = numerals.whole_number(text.strip())
    if number is None or not least <= number <= most:
        raise problems.CallerFault(
            400, f"Bad {header}", f"{header}: {text!r}", f"Send {least} to {most}."
        )
    return number


def _fault(_: AnyRequest, fault: problems.CallerFault) -> Response[bytes]:
    return problems.response(fault.problem)


def _http_fault(_: AnyRequest, fault: HTTPException) -> Response[bytes]:
    problem = problems.Problem(
        "Request not understood",
        fault.status_code,
        fault.detail,
        "See docs/FIRST-REQUEST.md for the calls there are.",
    )
    return problems.response(problem)


def handlers(api: CallersApi) -> list[HTTPRouteHandler]:
    """Return the route handlers."""

    @post("/v1/chat/completions", status_code=200)
    async def chat_completions(request: AnyRequest) -> Response[Any]:
        return await api.chat_completions(request)

    @post("/v1/requests", status_code=202)
    async def submit(request: AnyRequest) -> Response[Any]:
        return await api.submit(request)

    @get("/v1/requests/{key:str}")
    async def status(request: AnyRequest, key: str) -> Response[Any]:
        return await api.status(request, key)

    @get("/v1/requests/{key:str}/result")
    async def result(request: AnyRequest, key: str) -> Response[Any]:
        return await api.result(request, key)

    @get("/v1/requests/{key:str}/events")
    async def event_stream(request: AnyRequest, key: str) -> Response[Any]:
        return await api.event_stream(request, key)

    @delete("/v1/requests/{key:str}", status_code=202)
    async def cancel(request: AnyRequest, key: str) -> Response[Any]:
        return api.cancel(request, key)

    @post("/v1/keys")
    async def issue_key(request: AnyRequest) -> Response[Any]:
        return api.issue_key(request)

    methods = [HttpMethod.GET, HttpMethod.POST, HttpMethod.PUT, HttpMethod.PATCH, HttpMethod.DELETE]

    @route("/v1/services/{name:str}/{path:path}", http_method=methods, status_code=200)
    async def call_service(request: AnyRequest, name: str, path: str) -> Response[Any]:
        return await api.call_service(request, name, path)

    return [
        chat_completions,
        submit,
        status,
        result,
        event_stream,
        cancel,
        issue_key,
        call_service,
    ]


def build(node_shell: shell.Shell) -> Litestar:
    """Return the callers' application."""
    return Litestar(
        handlers(CallersApi(node_shell)),
        exception_handlers={problems.CallerFault: _fault, HTTPException: _http_fault},
        openapi_config=None,
        logging_config=None,
        request_max_body_size=None,
    )
