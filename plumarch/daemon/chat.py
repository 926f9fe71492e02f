"""OpenAI-style bodies of chat requests and answers."""

from typing import Annotated, Any

import msgspec

from plumarch.core import hashing
from plumarch.daemon import problems

DEFAULT_TOKENS = 256
MAX_TOKENS = 100_000
BYTES_PER_TOKEN = 4


class Message(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str | list[dict[str, Any]] | None = None


class ChatBody(msgspec.Struct, frozen=True):
    """The fields that plumarch reads; the engine gets the body unchanged."""

    model: str
    messages: Annotated[list[Message], msgspec.Meta(min_length=1)]
    stream: bool = False
    max_tokens: Annotated[int, msgspec.Meta(gt=0, le=MAX_TOKENS)] | None = None
    max_completion_tokens: Annotated[int, msgspec.Meta(gt=0, le=MAX_TOKENS)] | None = None
    seed: int | None = None


def parse(body: bytes) -> ChatBody:
    """Parse a chat request.

    Raises:
      CallerFault: it is not JSON, or a field is missing or invalid.
    """
    try:
        return msgspec.json.decode(body, type=ChatBody)
    except msgspec.MsgspecError as error:
        raise problems.CallerFault(
            400, "Bad request body", str(error), "Send an OpenAI-style chat body as JSON."
        ) from error


def wanted_tokens(body: ChatBody) -> int:
    """Return the caller's limit of tokens."""
    return body.max_completion_tokens or body.max_tokens or DEFAULT_TOKENS


def prompt_tokens(body: bytes) -> int:
    """Estimate the tokens of a prompt from the body's size."""
    return max(1, len(body) // BYTES_PER_TOKEN)


def prefix_of(body: ChatBody) -> int:
    """Hash the prompt segment that requests are likely to share."""
    return hashing.digest(body.model, str(body.messages[0].content))


def chunk(request_id: str, model: str, text: str | None, finish: str | None) -> dict[str, Any]:
    """Return a streamed event's body."""
    delta = {} if text is None else {"role": "assistant", "content": text}
    return {
        "id": request_id,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    }


def sse(event_id: int, body: object) -> bytes:
    """Return a server-sent event; its id counts the tokens up to its end."""
    return b"id: %d\ndata: %s\n\n" % (event_id, msgspec.json.encode(body))


SSE_DONE = b"data: [DONE]\n\n"


def completion(request_id: str, model: str, text: str, prompt: int, made: int) -> dict[str, Any]:
    """Return the body of a complete answer."""
    message = {"role": "assistant", "content": text}
    return {
        "id": request_id,
        "object": "chat.completion",
        "created": 0,
        "model": model,
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": {
            "prompt_tokens": prompt,
            "completion_tokens": made,
            "total_tokens": prompt + made,
        },
    }
