"""A sender against receivers that misbehave, outages, and a disk that is full."""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import cramjam
import h11
import pytest

from tests.export.samples import SAMPLES
from zincladder.config import ConfigError, RemoteWriteConfig
from zincladder.export import messages
from zincladder.export.delivery import DeliveryRules
from zincladder.export.sender import RemoteWrite
from zincladder.export.spool import Spool
from zincladder.metrics.exposition import Sample


class Receiver:
    """Takes pushes; answers each with the next step of its script: a status with headers, or a way to
    fail.
    """

    def __init__(self, *script: Any) -> None:
        self.script = list(script)
        self.pushes: list[tuple[dict[bytes, bytes], bytes]] = []
        self.port = 0

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=self.port)
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started()
        await listener.serve(self._connection)

    async def _connection(self, stream: anyio.abc.ByteStream) -> None:
        talk, body, head = h11.Connection(h11.SERVER), b"", {}
        async with stream:
            step = self.script.pop(0) if self.script else 204
            if step == "stall":
                await anyio.sleep_forever()
            while not isinstance(event := talk.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    talk.receive_data(await stream.receive())
                elif isinstance(event, h11.Request):
                    head = dict(event.headers)
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
            self.pushes.append((head, body))
            if step == "reset":
                return
            if step == "trickle":
                await stream.send(b"HTTP/1.1 2")
                await anyio.sleep_forever()
            status, more = step if isinstance(step, tuple) else (step, [])
            answer = h11.Response(status_code=status, headers=[("Content-Length", "0"), *more])
            await stream.send((talk.send(answer) or b"") + (talk.send(h11.EndOfMessage()) or b""))

    def times(self) -> list[int]:
        """The time of each push, in the order in which they came."""
        found = []
        for head, body in self.pushes:
            data = bytes(cramjam.snappy.decompress_raw(body))
            if head[b"x-prometheus-remote-write-version"] == b"2.0.0":
                assert head[b"content-type"] == messages.V2_CONTENT_TYPE.encode()
                request = messages.parse_v2(data)
            else:
                request = messages.WriteRequest()
                request.ParseFromString(data)
            assert len(request.timeseries) == len(SAMPLES)
            found.append(request.timeseries[0].samples[0].timestamp)
        return found


FAST = DeliveryRules(min_backoff_seconds=0.01, max_backoff_seconds=0.05, max_retry_after_seconds=0.2)


def samples() -> Iterator[Sample]:
    return iter(SAMPLES)


async def pushed(receiver: Receiver, want: dict[str, int], **config: Any) -> Counter[str]:
    """Runs a sender every 20 ms against a receiver until it has counted what is wanted."""
    counts: Counter[str] = Counter()
    async with anyio.create_task_group() as tasks:
        await tasks.start(receiver.run)
        to = RemoteWriteConfig("127.0.0.1", receiver.port, "/api/v1/write", 0.02, **config)
        push = RemoteWrite(to, samples, lambda outcome, many: counts.update({outcome: many}), FAST)
        tasks.start_soon(push.run)
        with anyio.fail_after(10):
            while any(counts[k] < n for k, n in want.items()):
                await anyio.sleep(0.005)
        tasks.cancel_scope.cancel()
    return counts


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("script", "want"),
    [
        ([], {"sent": 3}),
        ([500, 503, 429], {"retried": 3, "sent": 2}),
        ([(429, [("Retry-After", "1")])], {"retried": 1, "sent": 1}),
        ([400, 404], {"refused": 2, "sent": 1}),
        (["reset", "reset"], {"retried": 2, "sent": 1}),
        (["trickle", "stall"], {"retried": 2, "sent": 1}),
        ([415], {"fell_back": 1, "sent": 2}),
        ([(200, [("X-Prometheus-Remote-Write-Samples-Written", "2")])], {"partial": 1, "sent": 1}),
    ],
)
async def test_a_receiver_that_misbehaves_gets_each_batch_in_order(
    script: list[Any], want: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("zincladder.export.sender.PUSH_TIMEOUT_SECONDS", 0.3)
    receiver = Receiver(*script)
    counts = await pushed(receiver, want)
    assert all(counts[k] == n for k, n in want.items() if k != "sent")
    times = receiver.times()
    assert times == sorted(times)
    if 500 in script:
        assert len({body for _, body in receiver.pushes[:4]}) == 1  # the same batch until it is taken
    if 415 in script:
        versions = [head[b"x-prometheus-remote-write-version"] for head, _ in receiver.pushes[:3]]
        assert versions == [b"2.0.0", b"0.1.0", b"0.1.0"] and times[0] == times[1]


@pytest.mark.anyio
async def test_an_outage_and_a_restart_lose_nothing_with_a_spool(tmp_path: Path) -> None:
    dead = Receiver(*["reset"] * 10_000)
    counts = await pushed(dead, {"retried": 8}, spool_folder=str(tmp_path))
    assert not counts["sent"] and not counts["overflowed"]
    waiting = len(Spool(tmp_path, 64 << 20))
    assert waiting >= 5
    receiver = Receiver()
    await pushed(receiver, {"sent": waiting + 2}, spool_folder=str(tmp_path))
    times = receiver.times()
    assert times == sorted(set(times)) and times[0] == dead.times()[0]


@pytest.mark.anyio
async def test_a_spool_that_cannot_be_written_leaves_memory_and_its_bound(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    tried, real = 0, os.pwrite

    def full(file: int, data: bytes, at: int) -> int:
        nonlocal tried
        tried += len(data) > 100  # a batch; the cursor has its place already
        return real(file, data[:50] if len(data) > 100 and 4 <= tried <= 6 else data, at)

    monkeypatch.setattr("zincladder.export.spool.os.pwrite", full)
    receiver = Receiver(*["reset"] * 4)
    counts = await pushed(receiver, {"sent": 40}, spool_folder=str(tmp_path), max_memory_bytes=1 << 14)
    times = receiver.times()
    assert times == sorted(times) and not counts["overflowed"] and tried > 8


def test_a_spool_that_cannot_be_a_folder_is_a_fault_of_the_configuration(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("x")
    config = RemoteWriteConfig("127.0.0.1", 1, "/", spool_folder=str(tmp_path / "file"))
    with pytest.raises(ConfigError, match=r"remote_write\.spool"):
        RemoteWrite(config, samples, lambda outcome, many: None)
