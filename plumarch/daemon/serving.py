"""uvicorn inside a running event loop: one server a listener, stopped from outside."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import uvicorn
from litestar import Litestar

from plumarch.core import errors
from plumarch.daemon import settings

BACKLOG = 1024


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves the process's signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture no signals."""
        yield


def bind(address: str) -> socket.socket:
    """Open a listening socket.

    Raises:
      SettingsError: the address can't be had.
    """
    host, port = settings.split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
    except OSError as error:
        sock.close()
        raise errors.SettingsError(
            f"[listen] {address} can't be listened on: {error.strerror}."
            " Remedy: end the process that uses it, or choose another port."
        ) from error
    sock.listen(BACKLOG)
    return sock


class Listener:
    """One HTTP application on one socket."""

    def __init__(self, app: Litestar, sock: socket.socket) -> None:
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http="httptools",
            lifespan="off",
            log_config=None,
            access_log=False,
            timeout_keep_alive=30,
            timeout_graceful_shutdown=2,
        )
        self.sock = sock
        self.server = EmbeddedServer(config)
        self.task: asyncio.Task[None] | None = None

    def port(self) -> int:
        """Return the port listened on."""
        return int(self.sock.getsockname()[1])

    async def start(self) -> None:
        """Serve, and return once connections are taken."""
        serve = self.server.serve(sockets=[self.sock])
        self.task = asyncio.get_running_loop().create_task(serve)
        while not self.server.started and not self.task.done():
            await asyncio.sleep(0.005)

    async def abort(self) -> None:
        """End at once, connections included, as if the VM had vanished."""
        self.server.force_exit = True
        for connection in list(self.server.server_state.connections):
            transport = getattr(connection, "transport", None)
            if transport is not None:
                transport.abort()
        await self.stop()

    async def stop(self) -> None:
        """Stop taking connections and end those that are idle."""
        self.server.should_exit = True
        if self.task is not None:
            await self.task
