"""`zincladder ready` beside a front that is slow to answer."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress

from click.testing import CliRunner

from zincladder.cli import main
from zincladder.cli import status as status_commands


@contextmanager
def slow_front(delay_seconds: float) -> Iterator[tuple[str, list[float]]]:
    """Answers each call after a delay; yields its address and when each connection came."""
    connected_at: list[float] = []
    listener = socket.create_server(("127.0.0.1", 0))

    def serve(sock: socket.socket) -> None:
        with suppress(OSError), sock:
            sock.recv(64)
            time.sleep(delay_seconds)
            sock.sendall(b"SUCCESS\n")

    def accept() -> None:
        with suppress(OSError):
            while True:
                sock, _ = listener.accept()
                connected_at.append(time.monotonic())
                threading.Thread(target=serve, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    yield f"127.0.0.1:{listener.getsockname()[1]}", connected_at
    listener.close()


def test_ready_with_a_wait_stays_for_a_slow_answer() -> None:
    # Guards against a call that is given up after 2 s and made anew until the wait is over.
    with slow_front(status_commands.TIMEOUT_SECONDS + 0.5) as (address, connected_at):
        result = CliRunner().invoke(main, ["ready", "--wait", "6s", address])
        assert result.exit_code == 0 and "SUCCESS" in result.output and len(connected_at) == 1


def test_ready_without_a_wait_gives_up_in_time() -> None:
    with slow_front(60.0) as (address, _):
        started_at = time.monotonic()
        assert CliRunner().invoke(main, ["ready", address]).exit_code == 1
        assert time.monotonic() - started_at < status_commands.TIMEOUT_SECONDS + 0.5
