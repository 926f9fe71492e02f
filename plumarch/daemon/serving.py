"""uvicorn servers inside a running event loop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import uvicorn
from litestar import Litestar


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server without signal handlers; the daemon has its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers as they are."""
        yield


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
        """Serve, and return once connections are accepted."""
        serve = self.server.serve(sockets=[self.sock])
        self.task = asyncio.get_running_loop().create_task(serve)
        while not self.server.started and not self.task.done():
            await asyncio.sleep(0.005)

    async def abort(self) -> None:
        """Abort all connections and stop, as if the VM had been lost."""
        self.server.force_exit = True
        for connection in list(self.server.server_state.connections):
            transport = getattr(connection, "transport", None)
            if transport is not None:
                transport.abort()
        await self.stop()

    async def stop(self) -> None:
        """Stop accepting connections and close idle ones."""
        self.server.should_exit = True
        if self.task is not None:
            await self.task
