"""A TCP proxy whose open connections can go silent for good, while new ones work."""

import asyncio
import contextlib

COPY_BYTES = 65_536


class Proxy:
    """Forwards connections to a target.

    Attributes:
      silent: connections that forward nothing any more and are not closed.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.server: asyncio.Server | None = None
        self.address = ""
        self.open: set[int] = set()
        self.silent: set[int] = set()
        self.count = 0

    async def start(self) -> "Proxy":
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    def silence(self) -> int:
        """Let all open connections go silent; return how many."""
        self.silent |= self.open
        return len(self.open)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.count += 1
        number = self.count
        host, _, port = self.target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        self.open.add(number)
        copies = [
            asyncio.ensure_future(self._copy(number, reader, target_writer)),
            asyncio.ensure_future(self._copy(number, target_reader, writer)),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            self.open.discard(number)
            writer.close()
            target_writer.close()

    async def _copy(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(COPY_BYTES):
                if number not in self.silent:
                    writer.write(data)
                    await writer.drain()
