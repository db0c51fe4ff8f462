"""Prometheus remote write 1.0: batches of samples, pushed beside the requests and never before them."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable

import anyio
import cramjam
import h11
import structlog
from google.protobuf import descriptor_pb2, descriptor_pool, message_factory
from google.protobuf.message import Message

from zincladder.config import RemoteWriteConfig
from zincladder.metrics.registry import Registry, Sample

BACKOFF = (0.5, 30.0)  # seconds between tries of one batch, doubled from the first to the second
LIMIT = 10.0  # for one push
MOST_ANSWER = 1 << 16
log = structlog.get_logger()


def _write_request() -> type[Message]:
    """The message of the public specification (prometheus.WriteRequest), built without a compiler."""
    file = descriptor_pb2.FileDescriptorProto(name="remote.proto", package="prometheus", syntax="proto3")
    kinds = descriptor_pb2.FieldDescriptorProto
    shapes = {
        "Label": (("name", 1, kinds.TYPE_STRING, ""), ("value", 2, kinds.TYPE_STRING, "")),
        "Sample": (("value", 1, kinds.TYPE_DOUBLE, ""), ("timestamp", 2, kinds.TYPE_INT64, "")),
        "TimeSeries": (
            ("labels", 1, kinds.TYPE_MESSAGE, "Label"),
            ("samples", 2, kinds.TYPE_MESSAGE, "Sample"),
        ),
        "WriteRequest": (("timeseries", 1, kinds.TYPE_MESSAGE, "TimeSeries"),),
    }
    for name, fields in shapes.items():
        message = file.message_type.add(name=name)
        for field, number, kind, of in fields:
            many = kinds.LABEL_REPEATED if of else kinds.LABEL_OPTIONAL
            added = message.field.add(name=field, number=number, type=kind, label=many)
            if of:
                added.type_name = f".prometheus.{of}"
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return message_factory.GetMessageClass(pool.FindMessageTypeByName("prometheus.WriteRequest"))


WriteRequest = _write_request()


def encode(samples: Iterable[Sample], unix_ms: int) -> bytes:
    """One push: a snappy-compressed WriteRequest, labels in the order of their names."""
    request = WriteRequest()
    for sample in samples:
        series = request.timeseries.add()  # type: ignore[attr-defined]
        for name, value in sorted((("__name__", sample.name), *sample.labels)):
            series.labels.add(name=name, value=value)
        series.samples.add(value=sample.value, timestamp=unix_ms)
    return bytes(cramjam.snappy.compress_raw(request.SerializeToString()))


class RemoteWrite:
    """Takes samples at even times and pushes them in order; the oldest batch goes when too many wait."""

    def __init__(self, config: RemoteWriteConfig, registry: Registry, count: Callable[[str], None]) -> None:
        self._config, self._registry, self._count = config, registry, count
        self._queue: deque[bytes] = deque()
        self._news = anyio.Event()

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._push)
            while True:
                self.take()
                await anyio.sleep(self._config.every)

    def take(self) -> None:
        """Queues the samples of this moment."""
        if len(self._queue) >= self._config.queue:
            self._queue.popleft()
            self._count("overflowed")
        self._queue.append(encode(self._registry.samples(), int(time.time() * 1000)))
        self._news.set()

    async def _push(self) -> None:
        pause = BACKOFF[0]
        while True:
            while not self._queue:
                self._news = anyio.Event()
                await self._news.wait()
            batch = self._queue[0]
            try:
                with anyio.fail_after(LIMIT):
                    status = await self._post(batch)
            except (
                OSError,
                TimeoutError,
                anyio.BrokenResourceError,
                anyio.EndOfStream,
                h11.ProtocolError,
            ) as fault:
                log.info("remote write failed", why=str(fault) or type(fault).__name__)
                status = 503
            if status == 429 or status >= 500:
                self._count("retried")
                await anyio.sleep(pause)
                pause = min(2 * pause, BACKOFF[1])
                continue
            # Any other 4xx would meet the same batch for ever: it is dropped, as the specification says.
            self._count("sent" if status < 300 else "refused")
            if status >= 300:
                log.warning("remote write refused", status=status)
            if self._queue and self._queue[0] is batch:  # else it overflowed meanwhile
                self._queue.popleft()
            pause = BACKOFF[0]

    async def _post(self, body: bytes) -> int:
        c = self._config
        headers = [
            ("Host", f"{c.host}:{c.port}"),
            ("Content-Type", "application/x-protobuf"),
            ("Content-Encoding", "snappy"),
            ("X-Prometheus-Remote-Write-Version", "0.1.0"),
            ("User-Agent", "zincladder"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        talk = h11.Connection(h11.CLIENT)
        async with await anyio.connect_tcp(c.host, c.port) as stream:
            parts = (
                h11.Request(method="POST", target=c.path, headers=headers),
                h11.Data(body),
                h11.EndOfMessage(),
            )
            await stream.send(b"".join(talk.send(part) or b"" for part in parts))
            got = 0
            while True:
                event = talk.next_event()
                if event is h11.NEED_DATA:
                    try:
                        data = await stream.receive()
                    except anyio.EndOfStream:
                        data = b""
                    got += len(data)
                    if got > MOST_ANSWER:
                        raise h11.RemoteProtocolError("an answer without end")
                    talk.receive_data(data)
                elif isinstance(event, h11.Response):
                    return int(event.status_code)
                elif isinstance(event, h11.ConnectionClosed):
                    raise anyio.EndOfStream
