"""Tests the remote-write sender with faulty receivers, during outages, and with a full disk."""

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
    """A receiver that takes one step of its script per connection, and accepts every push after the last.

    A step is a status, a status with headers, or a way to fail: "stall" reads nothing, "reset" reads the
    push and closes the connection without a response, and "trickle" sends only the start of a response.
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
        http, body, headers = h11.Connection(h11.SERVER), b"", {}
        async with stream:
            step = self.script.pop(0) if self.script else 204
            if step == "stall":
                await anyio.sleep_forever()
            while not isinstance(event := http.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    http.receive_data(await stream.receive())
                elif isinstance(event, h11.Request):
                    headers = dict(event.headers)
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
            self.pushes.append((headers, body))
            if step == "reset":
                return
            if step == "trickle":
                await stream.send(b"HTTP/1.1 2")
                await anyio.sleep_forever()
            status, more_headers = step if isinstance(step, tuple) else (step, [])
            response = h11.Response(status_code=status, headers=[("Content-Length", "0"), *more_headers])
            await stream.send((http.send(response) or b"") + (http.send(h11.EndOfMessage()) or b""))

    def sample_times(self) -> list[int]:
        """The sample time of each push, in the order of arrival."""
        timestamps = []
        for headers, body in self.pushes:
            data = bytes(cramjam.snappy.decompress_raw(body))
            if headers[b"x-prometheus-remote-write-version"] == b"2.0.0":
                assert headers[b"content-type"] == messages.V2_CONTENT_TYPE.encode()
                request = messages.parse_v2(data)
            else:
                request = messages.WriteRequest()
                request.ParseFromString(data)
            assert len(request.timeseries) == len(SAMPLES)
            timestamps.append(request.timeseries[0].samples[0].timestamp)
        return timestamps


FAST_RULES = DeliveryRules(min_backoff_seconds=0.01, max_backoff_seconds=0.05, max_retry_after_seconds=0.2)


def samples() -> Iterator[Sample]:
    return iter(SAMPLES)


async def run_sender(receiver: Receiver, want: dict[str, int], **config: Any) -> Counter[str]:
    """Runs a sender that collects every 20 ms until the wanted outcomes are counted; returns the counts."""
    counts: Counter[str] = Counter()
    async with anyio.create_task_group() as tasks:
        await tasks.start(receiver.run)
        receiver_config = RemoteWriteConfig("127.0.0.1", receiver.port, "/api/v1/write", 0.02, **config)
        sender = RemoteWrite(
            receiver_config, samples, lambda outcome, number: counts.update({outcome: number}), FAST_RULES
        )
        tasks.start_soon(sender.run)
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
async def test_a_faulty_receiver_gets_each_batch_in_order(
    script: list[Any], want: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("zincladder.export.sender.PUSH_TIMEOUT_SECONDS", 0.3)
    receiver = Receiver(*script)
    counts = await run_sender(receiver, want)
    assert all(counts[k] == n for k, n in want.items() if k != "sent")
    sample_times = receiver.sample_times()
    assert sample_times == sorted(sample_times)
    if 500 in script:
        assert len({body for _, body in receiver.pushes[:4]}) == 1  # the same batch until it is accepted
    if 415 in script:
        versions = [headers[b"x-prometheus-remote-write-version"] for headers, _ in receiver.pushes[:3]]
        assert versions == [b"2.0.0", b"0.1.0", b"0.1.0"] and sample_times[0] == sample_times[1]


@pytest.mark.anyio
async def test_with_a_spool_no_batch_is_lost_in_an_outage_and_a_restart(tmp_path: Path) -> None:
    failing_receiver = Receiver(*["reset"] * 10_000)
    counts = await run_sender(failing_receiver, {"retried": 8}, spool_folder=str(tmp_path))
    assert not counts["sent"] and not counts["overflowed"]
    waiting = len(Spool(tmp_path, 64 << 20))
    assert waiting >= 5
    receiver = Receiver()
    await run_sender(receiver, {"sent": waiting + 2}, spool_folder=str(tmp_path))
    sample_times = receiver.sample_times()
    assert sample_times == sorted(set(sample_times)) and sample_times[0] == failing_receiver.sample_times()[0]


@pytest.mark.anyio
async def test_batches_are_kept_in_memory_and_in_order_while_the_spool_cannot_be_written(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    batch_writes, real_pwrite = 0, os.pwrite

    def write_partly(file: int, data: bytes, offset: int) -> int:
        nonlocal batch_writes
        batch_writes += len(data) > 100  # cursor writes are shorter, and overwrite bytes in place
        return real_pwrite(file, data[:50] if len(data) > 100 and 4 <= batch_writes <= 6 else data, offset)

    monkeypatch.setattr("zincladder.export.spool.os.pwrite", write_partly)
    receiver = Receiver(*["reset"] * 4)
    counts = await run_sender(receiver, {"sent": 40}, spool_folder=str(tmp_path), max_memory_bytes=1 << 14)
    sample_times = receiver.sample_times()
    assert sample_times == sorted(sample_times) and not counts["overflowed"] and batch_writes > 8


def test_a_spool_path_that_is_a_file_is_a_configuration_error(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("x")
    config = RemoteWriteConfig("127.0.0.1", 1, "/", spool_folder=str(tmp_path / "file"))
    with pytest.raises(ConfigError, match=r"remote_write\.spool"):
        RemoteWrite(config, samples, lambda outcome, number: None)


@pytest.mark.anyio
async def test_a_receiver_that_is_slow_to_respond_gets_each_batch_once() -> None:
    # Guards against a push that is given up before its response and sent again without end.
    class SlowReceiver(Receiver):
        def __init__(self, delay_seconds: float) -> None:
            super().__init__()
            self.delay_seconds = delay_seconds

        async def _connection(self, stream: anyio.abc.ByteStream) -> None:
            send = stream.send

            async def delayed_send(item: bytes) -> None:
                await anyio.sleep(self.delay_seconds)
                await send(item)

            stream.send = delayed_send  # type: ignore[method-assign]
            await super()._connection(stream)

    async def check(delay_seconds: float) -> None:
        receiver, counts = SlowReceiver(delay_seconds), Counter[str]()
        async with anyio.create_task_group() as tasks:
            await tasks.start(receiver.run)
            config = RemoteWriteConfig("127.0.0.1", receiver.port, "/api/v1/write", 60.0)
            sender = RemoteWrite(config, samples, lambda outcome, n: counts.update({outcome: n}), FAST_RULES)
            tasks.start_soon(sender.run)
            with anyio.fail_after(delay_seconds + 2.0):
                while not counts:
                    await anyio.sleep(0.005)
            tasks.cancel_scope.cancel()
        assert counts == {"sent": 1} and len(receiver.pushes) == 1

    async with anyio.create_task_group() as tasks:
        for delay_seconds in (0.5, 2.0, 3.0, 5.0, 10.0):
            tasks.start_soon(check, delay_seconds)
