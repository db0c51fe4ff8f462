"""Runs a front as a process: its event loop and its signal handling."""

from __future__ import annotations

import os
import signal

import anyio

from zincladder.config import Config, Operator
from zincladder.config.reload import Reload
from zincladder.wiring.front import run_front


def run_process(config: Config, operator: Operator) -> None:
    """Runs a front until SIGTERM or SIGINT stops it.

    Raises an exception group with a ConfigError if a known event in the configuration is invalid, or if a
    spool cannot be used.
    """
    # uvloop, because a front has to serve 950 requests per second on a fraction of a CPU core.
    anyio.run(_run, config, operator, backend_options={"use_uvloop": True})


async def _run(config: Config, operator: Operator) -> None:
    """Runs a front. SIGTERM and SIGINT stop it once open requests are answered; SIGHUP reloads the files."""
    stopping, reload = anyio.Event(), Reload(config)
    rendezvous_directory = os.environ.get("TMPDIR")
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with anyio.create_task_group() as tasks:

            async def handle_signals() -> None:
                async for number in signals:
                    if number == signal.SIGHUP:
                        reload()
                    else:
                        stopping.set()

            tasks.start_soon(handle_signals)
            await run_front(
                config, operator, stopping, reload=reload, rendezvous_directory=rendezvous_directory
            )
            tasks.cancel_scope.cancel()
