"""A TCP proxy whose open connections can go silent without a reset, while new ones work."""

import asyncio

READ_BYTES = 65_536


class Link:
    """One proxied connection."""

    def __init__(self) -> None:
        self.is_silent = False
        self.writers: list[asyncio.StreamWriter] = []


class Proxy:
    """Forwards connections to one address."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.links: set[Link] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._handle, host, 0)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def silence(self) -> int:
        """Make all open connections silent for good; return their number."""
        for link in self.links:
            link.is_silent = True
        return len(self.links)

    def stop(self) -> None:
        """Stop listening and end all connections."""
        if self.server is not None:
            self.server.close()
        for link in list(self.links):
            for writer in link.writers:
                writer.transport.abort()

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = Link()
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        link.writers = [writer, far_writer]
        self.links.add(link)
        ways = [
            asyncio.create_task(_copy(link, reader, far_writer)),
            asyncio.create_task(_copy(link, far_reader, writer)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            pass  # The script ends.
        finally:
            for way in ways:
                way.cancel()
            self.links.discard(link)
            for one in link.writers:
                one.close()


async def _copy(link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy one direction until it ends; a silent link loses all bytes."""
    try:
        while data := await reader.read(READ_BYTES):
            if not link.is_silent:
                writer.write(data)
                await writer.drain()
    except OSError:
        pass
