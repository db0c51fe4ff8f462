"""Starts the project's programs with the command of the deploy file, and ends them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.common.platform import ROOT, Record

CANNOT_RUN = 2
MAX_SECONDS = 90  # then the case could not run; ending its processes takes some more seconds


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class CannotRunError(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Front:
    """A front as a process of its own, started with `run` of the deploy file."""

    def __init__(self, name: str, record: Record, folder: Path, config: Path, operator: Path | None) -> None:
        self.name, self.record, self._folder = name, record, folder
        self._config, self._operator = config, operator
        self.control = free_port()
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, tmpdir: Path) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        tmpdir.mkdir(exist_ok=True)
        environment = os.environ | {
            "RELAY_CONFIG": str(self._config),
            "RELAY_CONTROL": f"127.0.0.1:{self.control}",
            "TMPDIR": str(tmpdir),
        }
        if self._operator:
            environment["ZINCLADDER_OPERATOR"] = str(self._operator)
        with (self._folder / f"{self.name}.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.note(self.name, "is started as process", self.process.pid)

    @property
    def status(self) -> int | None:
        """The exit status; None while the process runs."""
        assert self.process is not None
        return self.process.returncode

    async def until_ready(self, seconds: float = 15.0) -> None:
        """Asks READY until the front says yes."""
        end = time.time() + seconds
        while time.time() < end and self.status is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.control)
                writer.write(b"READY\n")
                answer = await reader.readline()
                writer.close()
                if answer.startswith(b"SUCCESS"):
                    self.record.note(self.name, "is ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} did not become ready: {self.log_end()}")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        if self.status is None:
            self.record.note(self.name, "gets", number.name)
            self.process.send_signal(number)

    async def end(self, seconds: float = 4.5) -> int:
        """Ends the process with SIGTERM, and with SIGKILL if it does not end; returns its exit status."""
        assert self.process is not None
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), seconds)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.record.note(self.name, "has ended with status", self.status)
        return int(self.status or 0)

    def log_end(self, size: int = 600) -> str:
        return (self._folder / f"{self.name}.log").read_text()[-size:]

    def copy_log(self, last: int = 60) -> None:
        """Copies the end of the front's log into the record."""
        for line in (self._folder / f"{self.name}.log").read_text().splitlines()[-last:]:
            self.record.write(f"log of {self.name}:", line.replace(f"{ROOT}/", ""))


def run_case(file: str, case: Callable[[Record, Path, bool], Awaitable[bool]]) -> None:
    """Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

    `case` gets the record, a temporary folder and whether the disruption takes place (not with TROUBLE=0),
    and returns whether the rule held.
    """
    record = Record(Path(file).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> bool:
        with tempfile.TemporaryDirectory() as folder:
            task = asyncio.current_task()
            assert task is not None
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
            return await asyncio.wait_for(case(record, Path(folder), trouble), MAX_SECONDS)

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        record.note("the case could not run:", type(error).__name__, error)
        sys.exit(CANNOT_RUN)
    record.note("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
