"""Runs one stand-in: python -m plumarch.standins.main KIND ADDRESS [options]."""

import asyncio
import signal

import fire
from litestar import Litestar

from plumarch.daemon import listening, logs, serving
from plumarch.standins import engine_app, platform_app, service_app


async def _serve(app: Litestar, address: str) -> None:
    listener = serving.Listener(app, listening.bind(address))
    await listener.start()
    print(f"listening on port {listener.port()}", flush=True)
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop_requested.set)
    await stop_requested.wait()
    await listener.stop()


def platform(address: str) -> None:
    """Serve the stand-in platform."""
    asyncio.run(_serve(platform_app.build(platform_app.PlatformStandin()), address))


def engine(
    address: str, models: str, token_ms: float = 30.0, tokens_per_event: int = 1, capacity: int = 8
) -> None:
    """Serve a stand-in engine for a comma-separated list of models."""
    names = tuple(models) if isinstance(models, list | tuple) else tuple(models.split(","))
    state = engine_app.EngineStandin(
        names, capacity=capacity, token_ms=token_ms, tokens_per_event=tokens_per_event
    )
    asyncio.run(_serve(engine_app.build(state), address))


def service(address: str, checks_fencing: bool = False, delay_ms: float = 5.0) -> None:
    """Serve a stand-in service."""
    state = service_app.ServiceStandin(delay_ms, checks_fencing)
    asyncio.run(_serve(service_app.build(state), address))


def main() -> None:
    """Run one stand-in from the command line."""
    logs.set_up("WARNING", json_lines=False)
    fire.Fire({"platform": platform, "engine": engine, "service": service})


if __name__ == "__main__":
    main()
