"""Calls through the plug-in beside servers and fronts with faults, by seed: each call gets its own reply.

Replies come twice, at once or late, ahead of their call, under other numbers, in one frame, in pieces, or end
within; connections are reset; the front answers its query late or after a copy of an older answer. A call may
fail only if its own reply was not sent whole, and a write runs once at the most. Setting `SOAK_SEEDS=50` runs
50 seeds instead of 4.
"""

from __future__ import annotations

import os
import socket
import struct
import time
from collections import Counter
from random import Random

import dns.message
import pytest

from tests.plugin.test_foreign_replies import (
    DISTURBANCES,
    Received,
    Respond,
    Server,
    answer,
    ask,
    reply_to,
)
from tests.plugin.test_front_query import SlowFront, answer_to
from zincladder.plugin import transport as plugin
from zincladder.plugin.sent_writes import SentWrites
from zincladder.plugin.transport import SteeredTransport

SEEDS = range(int(os.environ.get("SOAK_FROM", "0")), int(os.environ.get("SOAK_SEEDS", "4")))
CALLS = 80
DEADLINE_SECONDS = 2.0
FAULT_SHARE, WHOLE_REPLY_SHARE = 0.3, 0.7  # of the calls; of the faults, those after which a call succeeds
SLOW_QUERY_SHARE = 0.05
SLOW_QUERY_SECONDS = (0.3, 0.5)
RESET = struct.pack("ii", 1, 0)  # for SO_LINGER: close sends a reset


def answer_in_pieces(sock: socket.socket, call: Received) -> None:
    data = reply_to(call)
    for piece in (data[:3], data[3:9], data[9:]):
        sock.sendall(piece)
        time.sleep(0.002)


def reset(sock: socket.socket, _: Received) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


def end_within_the_reply(sock: socket.socket, call: Received) -> None:
    sock.sendall(reply_to(call)[:-4])
    sock.shutdown(socket.SHUT_RDWR)


def answer_noise(sock: socket.socket, _: Received) -> None:
    sock.sendall(b"\x7f\xff\xff\xff noise")


WHOLE_REPLIES: tuple[Respond, ...] = (answer_in_pieces, *DISTURBANCES.values())
FAILURES: tuple[Respond, ...] = (reset, end_within_the_reply, answer_noise)


class FaultyFront(SlowFront):
    """Answers some queries late, and some after an answer to the query before."""

    def __init__(self, endpoint_port: int, random: Random) -> None:
        super().__init__(0.0, endpoint_port)
        self._random = random
        self.before_answer = self._repeat_older_answer

    def _repeat_older_answer(self, query: dns.message.Message, client: tuple[str, int]) -> None:
        self.delay_seconds = 0.0
        if self._random.random() < SLOW_QUERY_SHARE:
            self.delay_seconds = self._random.choice(SLOW_QUERY_SECONDS)  # of the next query
        older = [other for other in self.queries if other.id != query.id]
        if older and self._random.random() < FAULT_SHARE:
            self.sock.sendto(answer_to(older[-1], 1).to_wire(), client)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("write", (False, True), ids=("reads", "writes"))
def test_no_fault_gives_a_call_another_reply_or_runs_a_write_twice(
    monkeypatch: pytest.MonkeyPatch, write: bool, seed: int
) -> None:
    monkeypatch.setattr(plugin, "SENT_WRITES", SentWrites())
    random = Random(2 * seed + write)
    server = Server(framed=random.random() < 0.5, echoes=random.random() < 0.5)
    front = FaultyFront(server.address[1], Random(seed))
    steered = SteeredTransport("papers.main.example.org", front.address, DEADLINE_SECONDS, write)
    transport = server.wrapper()(steered)
    results: Counter[str] = Counter()
    for index in range(CALLS):
        name, may_fail = f"{seed} {index}", False
        respond: Respond = answer
        if random.random() < FAULT_SHARE:
            may_fail = random.random() >= WHOLE_REPLY_SHARE
            respond = random.choice(FAILURES if may_fail else WHOLE_REPLIES)
        server.script = [respond]
        got = ask(server, transport, name, random.choice((0, 1, index)))
        failed = got.startswith("failed: ")
        assert got == name or (failed and may_fail), (seed, index, respond, got)
        results["failed" if failed else "served"] += 1
        if random.random() < 0.1:
            time.sleep(0.01)  # a late copy arrives before the next call
    server.close()
    front.close()
    assert results["served"] >= CALLS * 3 / 4
    runs = Counter(server.runs)
    assert not write or max(runs.values()) == 1
    assert max(runs.values()) <= 2  # a read may be sent once more
