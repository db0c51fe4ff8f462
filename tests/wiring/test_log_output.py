"""Tests that a front serves on when nobody takes its log."""

from __future__ import annotations

import json
import os
import signal
from collections.abc import Iterator
from pathlib import Path

import anyio
import anyio.abc
import pytest

from tests.processes import free_port
from tests.support.front_configuration import configuration
from tests.support.front_process import FrontProcess
from tests.support.service_client import Client
from tests.support.stub_cache import StubCache
from zincladder.support.logging_setup import LineLogger


def full_disk() -> int:
    return os.open("/dev/full", os.O_WRONLY)


def ended_reader() -> int:
    reader, writer = os.pipe()
    os.close(reader)
    return writer


def stopped_reader() -> int:
    _reader, writer = os.pipe()  # the reader stays open and reads nothing
    os.set_blocking(writer, False)
    with pytest.raises(BlockingIOError):
        while True:
            os.write(writer, bytes(1 << 16))
    os.set_blocking(writer, True)
    return writer


TROUBLES = [full_disk, ended_reader, stopped_reader]


@pytest.fixture(params=TROUBLES)
def standard_error(request: pytest.FixtureRequest) -> Iterator[int]:
    descriptor = request.param()
    yield descriptor
    os.close(descriptor)


def test_lines_that_are_not_taken_are_dropped_and_counted(standard_error: int, tmp_path: Path) -> None:
    logger = LineLogger(standard_error)
    for _ in range(3):
        logger.msg("lost")
    with (tmp_path / "log").open("wb") as file:
        os.dup2(file.fileno(), standard_error)
    logger.msg("written")
    logger.msg("\ud800 and more")
    dropped, *written = (tmp_path / "log").read_text().splitlines()
    assert json.loads(dropped) == {"event": "log lines dropped", "lines": 3}
    assert written == ["written", "\\ud800 and more"]


def test_a_long_line_is_written_whole_to_a_pipe_that_has_room() -> None:
    reader, writer = os.pipe()
    line = "x" * 60_000
    LineLogger(writer).msg(line)
    assert os.read(reader, 1 << 16).decode() == line + "\n"


@pytest.mark.anyio
async def test_a_front_whose_log_is_not_taken_serves_on_and_ends_in_order(
    standard_error: int, tmp_path: Path
) -> None:
    # Guards against a log line that raises in a task, which ended the whole front.
    cache, origin = StubCache("s-00000001", 0), StubCache("s-000000b0", 2)
    async with anyio.create_task_group() as tasks:
        for server in (cache, origin):
            await tasks.start(server.run)
        address = ("127.0.0.1", free_port())
        config = configuration([cache.endpoint(), origin.endpoint()])
        front = FrontProcess(
            tmp_path, config | {"listen": f"{address[0]}:{address[1]}"}, stderr=standard_error
        )
        try:
            await front.until(front.ready)
            async with await anyio.connect_tcp(*address) as stream:
                client = Client(stream)
                for route, kind in (("page", "served"), ("missing", "application"), ("page", "served")):
                    await client.ask(route=route)
                    with anyio.fail_after(5):
                        assert (await client.reply()).kind == kind
            front.process.send_signal(signal.SIGHUP)
            await front.until(lambda: b"app.sighup_applied=1" in front.ask(b"STATS\n"))
            front.process.send_signal(signal.SIGTERM)
            assert await front.ended() == 0
        finally:
            front.process.kill()
        tasks.cancel_scope.cancel()
