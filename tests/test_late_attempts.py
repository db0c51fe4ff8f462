"""Attempts whose client has gone, or whose time is over, by the time their first byte could go out.

Seen: fronts with a late event loop sent requests on after their clients had left; the members found them over
already, 1 ms after they came.
How it came about: an attempt was decided in time. Until its first byte its connection had to come up, and the
loop had much else to do. By then its client's time was over.
Cause: the look just before the first byte asked for drains, purges, the repeat window and the end of the
client's connection, and not for the time. What should have ended the attempt, a timer, a message to be read
or a cancellation, waits for its turn of the loop; the first byte did not.
Proof: each test lets one of these happen in the moment in which the connection has come up. Without the
repair the attempt goes out; where its time is over, the member is told 1 ms.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

import anyio
import pytest

from tests.stands import SETTINGS, client, serve, world
from tests.test_endings import cores_of, on_connect, plain, request
from zincladder.core.engine import Core
from zincladder.net import thrift

pytestmark = pytest.mark.anyio
PATIENCE = 0.3  # seconds of the request that is not to be sent
NO_PROBES = SETTINGS | {"ceilings": SETTINGS["ceilings"] | {"probes": False}}  # only attempts connect
Act = Callable[[Core, socket.socket], None]


def its_time_runs_out(core: Core, _: socket.socket) -> None:
    core.clock._offset += PATIENCE


def withdrawal(seq: int) -> bytes:
    message = thrift._message(thrift.ONEWAY, "withdraw", 9) + b"\x08\0\1" + struct.pack(">i", seq) + b"\0"
    return struct.pack(">i", len(message)) + message


def it_is_withdrawn(_: Core, sock: socket.socket) -> None:
    sock.sendall(withdrawal(1))


async def sent_after(act: Act, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """The attempts that reach a member where `act` happens as the connection for the first has come up."""
    cores, waiting = cores_of(monkeypatch), list[socket.socket]()
    on_connect(monkeypatch, lambda _: act(cores[0], waiting.pop()) if waiting else None)
    async with world(serve, serve, settings=NO_PROBES) as w, client(w) as stays:
        with plain(w) as sock:
            waiting.append(sock)
            sock.sendall(request(1, patience=str(round(PATIENCE * 1000))))
            with anyio.fail_after(5):
                while waiting:
                    await anyio.sleep(0.001)
        await stays.ask(trace="f" * 16)
        assert (await stays.reply()).kind == "served"
        return [fetch.name for stub in w.caches for fetch in stub.fetches if fetch.name != "f" * 16]


async def test_an_attempt_whose_time_ran_out_while_its_connection_came_up_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert await sent_after(its_time_runs_out, monkeypatch) == []


async def test_an_attempt_whose_client_withdrew_it_while_its_connection_came_up_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert await sent_after(it_is_withdrawn, monkeypatch) == []
