"""The platform: its metadata store with pages, watches and conditions, and the cloud's calls."""

import asyncio
import dataclasses
import json
import time
import urllib.parse
from typing import Any

from standins import http

OBJECTS = "/plumarch/objects/"
ANSWER_S = 0.004
"""An answer of the store takes 4 ms."""

PAGE_ITEMS = 500


@dataclasses.dataclass(slots=True)
class Event:
    """A change of one object."""

    revision: int
    kind: str
    found: dict[str, Any]
    gone: bool


class Platform:
    """The store and the cloud, on one address each.

    Attributes:
      acknowledged: when each change was accepted, by revision, in s of the steady clock.
      reads: number of lists and watches.
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[Event] = []
        self.revision = 0
        self.changed = asyncio.Condition()
        self.fences: dict[str, int] = {}
        self.acknowledged: dict[int, float] = {}
        self.reads = 0
        self.store = http.Server(self._serve_store)
        self.cloud = http.Server(self._serve_cloud)

    async def start(self, host: str) -> None:
        """Listen on free ports."""
        await self.store.start(host)
        await self.cloud.start(host)

    def stop(self) -> None:
        """Stop listening."""
        self.store.stop()
        self.cloud.stop()

    async def put(self, kind: str, name: str, specification: Any) -> float:
        """Create or replace an object; return when that was accepted.

        A change that changes nothing makes no revision and no event.
        """
        known = self.objects.get((kind, name))
        if known is not None and known["specification"] == specification:
            return time.monotonic()
        return await self._keep(kind, name, specification)

    async def remove(self, kind: str, name: str) -> float:
        """Remove an object; return when that was accepted."""
        found = self.objects.pop((kind, name))
        self.revision += 1
        return await self._note(Event(self.revision, kind, found, True))

    async def _keep(self, kind: str, name: str, specification: Any, status: Any = None) -> float:
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "finalizers": [], "deleting": False}
        found = {"metadata": metadata, "specification": specification, "status": status}
        self.objects[(kind, name)] = found
        return await self._note(Event(self.revision, kind, found, False))

    async def _note(self, event: Event) -> float:
        self.history.append(event)
        now = self.acknowledged[event.revision] = time.monotonic()
        async with self.changed:
            self.changed.notify_all()
        return now

    async def _serve_store(self, request: http.Request, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(ANSWER_S)
        status, found = await self._answer(request)
        body = b"" if found is None else json.dumps(found).encode()
        writer.write(http.message(status, {"Content-Type": "application/json"}, body))
        return True

    async def _answer(self, request: http.Request) -> tuple[int, Any]:
        split = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(split.query))
        kind, _, name = split.path.removeprefix(OBJECTS).partition("/")
        name = urllib.parse.unquote(name)
        if request.method != "GET":
            return await self._write(request, kind, name)
        self.reads += 1
        if name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, None)
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["wait_ms"]))
        after = query.get("after_revision", "")
        names = sorted(one for of, one in self.objects if of == kind and one > after)
        items = [self.objects[(kind, one)] for one in names[:PAGE_ITEMS]]
        return 200, {"items": items, "more": len(names) > PAGE_ITEMS, "at": self.revision}

    async def _watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, Any]:
        def events() -> list[dict[str, Any]]:
            return [
                {"gone": one.gone, "object": one.found}
                for one in self.history
                if one.revision > since and one.kind == kind
            ]

        async with self.changed:
            try:
                async with asyncio.timeout(wait_ms / 1000.0):
                    await self.changed.wait_for(lambda: bool(events()))
            except TimeoutError:
                pass
        return 200, {"events": events(), "at": self.revision}

    async def _write(self, request: http.Request, kind: str, name: str) -> tuple[int, Any]:
        body = json.loads(request.body) if request.body else {}
        name, _, part = (name or body["metadata"]["name"]).partition("/")
        known = self.objects.get((kind, name))
        if request.method == "POST" and known:
            return 409, known
        if request.method != "POST" and known is None:
            return 404, None
        wanted = body.get("metadata", {}).get("revision")
        if known and wanted is not None and wanted != known["metadata"]["revision"]:
            return 409, known
        if request.method == "DELETE":
            await self.remove(kind, name)
            return 200, known
        if part == "status":
            await self._keep(kind, name, known["specification"], body["status"])
        elif not known or known["specification"] != body["specification"]:
            await self._keep(kind, name, body["specification"])
        return 200, self.objects[(kind, name)]

    async def _serve_cloud(self, request: http.Request, writer: asyncio.StreamWriter) -> bool:
        body = json.loads(request.body)
        subject = request.target
        if request.target == "/scale":
            subject += f" {body['service']} {body['zone']}"
        fence = int(request.headers["fencing-token"])
        is_old = fence < self.fences.get(subject, 0)
        self.fences[subject] = max(fence, self.fences.get(subject, 0))
        writer.write(http.message(409 if is_old else 200, {}))
        return True
