"""plumarchd SETTINGS.ini: the daemon of an entry VM."""

import asyncio
import signal
import sys

from loguru import logger

from plumarch.core import errors, event_loop
from plumarch.daemon import callers, listening, logs, operators, serving, settings, shell

EXIT_SETTINGS = 2
USAGE = "Usage: plumarchd SETTINGS.ini"

log = logger.bind(part="daemon")


class Daemon:
    """A shell with its HTTP listeners."""

    def __init__(self, given: settings.Settings) -> None:
        self.settings = given
        self.shell = shell.Shell(given)
        callers_socket = listening.bind(given.listen.callers)
        try:
            operators_socket = listening.bind(given.listen.operators)
        except errors.SettingsError:
            callers_socket.close()
            raise
        self.callers = serving.Listener(callers.build(self.shell), callers_socket)
        self.operators = serving.Listener(operators.build(self.shell), operators_socket)

    async def start(self) -> None:
        """Open all listeners."""
        try:
            await self.shell.start()
        except OSError as error:
            raise errors.SettingsError(
                f"[listen] peers = {self.settings.listen.peers} can't be listened on:"
                f" {error.strerror}. Remedy: choose another port."
            ) from error
        await self.operators.start()
        await self.callers.start()
        log.info(
            "Serving callers on port {}, operators on port {}.",
            self.callers.port(),
            self.operators.port(),
        )

    async def stop(self) -> None:
        """Drain the node, then close all listeners."""
        await self.shell.stop()
        await self.callers.stop()
        await self.operators.stop()
        await self.shell.close()


async def serve(given: settings.Settings) -> None:
    """Run a daemon until SIGTERM or SIGINT.

    Raises:
      SettingsError: a listener can't be opened.
    """
    daemon = Daemon(given)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await daemon.start()
    await stop_requested.wait()
    log.info("Stop requested.")
    await daemon.stop()
    log.info("Stopped.")


def main() -> None:
    """Run the daemon from the command line."""
    if len(sys.argv) != 2 or sys.argv[1].startswith("-"):
        print(USAGE, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    try:
        given = settings.load(sys.argv[1])
        logs.set_up(given.log.level, given.log.json_lines)
        event_loop.run(serve(given))
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)


if __name__ == "__main__":
    main()
