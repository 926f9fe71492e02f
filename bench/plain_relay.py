"""Baseline for bench.relay: a proxy that streams an engine's response unchanged."""

import asyncio
import sys
from collections.abc import AsyncIterator
from typing import Any

import httpx
from litestar import Litestar, Request, post
from litestar.response import Stream

from plumarch.daemon import listening, logs, serving

HTTP = httpx.AsyncClient(timeout=60, limits=httpx.Limits(max_connections=2000))


def build(engine_url: str) -> Litestar:
    """Return an application that forwards each chunk as it arrives."""

    async def relay(body: bytes) -> AsyncIterator[bytes]:
        url = engine_url + "/v1/chat/completions"
        async with HTTP.stream("POST", url, content=body) as answer:
            async for chunk in answer.aiter_raw():
                yield chunk

    @post("/v1/chat/completions", status_code=200)
    async def completions(request: Request[Any, Any, Any]) -> Stream:
        return Stream(relay(await request.body()), media_type="text/event-stream")

    return Litestar([completions], openapi_config=None, logging_config=None)


async def main(address: str, engine_url: str) -> None:
    """Serve until killed."""
    listener = serving.Listener(build(engine_url), listening.bind(address))
    await listener.start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    logs.set_up("ERROR", json_lines=False)
    asyncio.run(main(sys.argv[1], sys.argv[2]))
