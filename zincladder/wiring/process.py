"""The process of a front: its signals and its event loop."""

from __future__ import annotations

import os
import signal

import anyio

from zincladder.config import Config, Operator
from zincladder.config.reload import Reload
from zincladder.wiring.front import run_front


def run_process(config: Config, operator: Operator) -> None:
    """Run a front until SIGTERM or SIGINT has ended it in order. Raises ConfigError in a group."""
    # uvloop: a front has to serve 950 requests a second on part of a core.
    anyio.run(_run, config, operator, backend_options={"use_uvloop": True})


async def _run(config: Config, operator: Operator) -> None:
    """SIGTERM and SIGINT stop the front, and what was taken is answered first. SIGHUP reloads."""
    stopping, reload = anyio.Event(), Reload(config)
    rendezvous_folder = os.environ.get("TMPDIR")
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with anyio.create_task_group() as tasks:

            async def handle_signals() -> None:
                async for number in signals:
                    if number == signal.SIGHUP:
                        reload()
                    else:
                        stopping.set()

            tasks.start_soon(handle_signals)
            await run_front(config, operator, stopping, reload=reload, rendezvous_folder=rendezvous_folder)
            tasks.cancel_scope.cancel()
