"""Tests that no peer of a replica can end it: not by its connections, and not by what it sends."""

from __future__ import annotations

import random
import resource
import socket
import struct
from pathlib import Path

import anyio
import anyio.abc
import anyio.to_thread
import msgspec
import pytest

from tests.processes import GROUP, ProcessCluster, process_cluster
from zincladder.consensus.log import Log
from zincladder.consensus.model import (
    AppendEntries,
    Entry,
    EntryKind,
    HardState,
    Membership,
    Snapshot,
    StoredState,
)
from zincladder.links.connection import Link, connect
from zincladder.links.frames import VERSION, Hello, Welcome

pytestmark = pytest.mark.anyio
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER
MAX_DESCRIPTORS = 48


def test_entries_that_cannot_be_decoded_leave_the_log_as_it_was() -> None:
    # Guards against an entry that stays in the log of one member and that no other member takes.
    members = Membership({"k1": "127.0.0.1:1", "k2": "127.0.0.1:2"})
    log = Log(StoredState(HardState(), Snapshot(0, 0, members)))
    log.append(Entry(1, EntryKind.DATA, b"kept"))
    log.append(Entry(1, EntryKind.DATA, b"kept too"))
    unusable = Entry(2, EntryKind.MEMBERS, b"\xc1 no membership")
    for first_index in (1, 2, 3):
        with pytest.raises(msgspec.DecodeError):
            log.replace_from(first_index, (Entry(2, EntryKind.DATA, b"new"), unusable))
        with pytest.raises(msgspec.DecodeError):
            log.append(unusable)
        assert (log.last_index, log.term_at(1), log.term_at(2)) == (2, 1, 1)


async def answers(cluster: ProcessCluster, name: str) -> None:
    """Waits until a replica answers, and fails with its log if it has ended."""

    async def status() -> bool:
        process = cluster.processes[name].popen
        assert process is not None and process.poll() is None, cluster.logs()
        return await cluster.status(name) is not None

    await cluster.until(f"{name} answers", status)


def reset_connections(port: int, count: int, data: bytes) -> None:
    for _ in range(count):
        with socket.create_connection(("127.0.0.1", port), 5.0) as sock:
            sock.sendall(data)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


async def test_resets_and_garbage_at_every_port_end_no_replica(tmp_path: Path) -> None:
    # Guards against a reset of a new connection to /metrics that ended each replica it reached.
    generator = random.Random(1)
    async with process_cluster(tmp_path) as r:
        (name,) = await r.replicas(1)
        process = r.processes[name]
        process.kill()
        file = process.folder / "keeper.toml"
        file.write_text(file.read_text().replace("[keeper]", '[keeper]\nmetrics = "127.0.0.1:0"'))
        await r.start(name)
        (event, *_) = await r.until(
            "metrics are served", lambda: process.events("metrics endpoint listening")
        )
        for port in (event["listen"][1], r.ports[name]):
            for data in (b"", b"GET /metrics HTTP/1.1\r\n\r\n", generator.randbytes(200)):
                await anyio.to_thread.run_sync(reset_connections, port, 30, data)
        await answers(r, name)


async def test_a_replica_without_a_free_descriptor_goes_on_when_one_is_free(tmp_path: Path) -> None:
    # Guards against a failed accept(2) that ended the replica.
    async with process_cluster(tmp_path) as r:
        (name,) = await r.replicas(1)
        await r.leader()
        popen = r.processes[name].popen
        assert popen is not None
        resource.prlimit(popen.pid, resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))
        silent = [socket.create_connection(("127.0.0.1", r.ports[name])) for _ in range(2 * MAX_DESCRIPTORS)]
        await r.until(
            "the replica runs out of descriptors",
            lambda: r.processes[name].events("failed to accept a connection"),
        )
        for sock in silent:
            sock.close()
        await answers(r, name)


async def test_a_member_whose_message_cannot_be_handled_ends_no_other(tmp_path: Path) -> None:
    # Guards against an exception over one message on a link that this replica has opened.
    async with process_cluster(tmp_path) as r:
        names = await r.replicas(3)
        status = await r.status(await r.leader())
        assert status is not None
        link, welcome = await connect(("127.0.0.1", r.ports["k3"]), Hello(VERSION, GROUP, "operator", "test"))
        await link.close()
        r.processes["k3"].kill()
        sent_to = set()

        async def send_unusable_message(stream: anyio.abc.SocketStream) -> None:
            link = Link(stream)
            hello: Hello = await link.receive(Hello)
            await link.send(Welcome("k3", welcome.instance_id))
            link.handshake_done()
            entry = Entry(1, EntryKind.MEMBERS, b"\xc1 no membership")
            await link.send(AppendEntries(1_000_000, 1, status.last_index, status.term, 0, (entry,)))
            sent_to.add(hello.name)
            await anyio.sleep_forever()

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, send_unusable_message)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            for (_, to), relay in r.relays.items():
                if to == "k3":
                    relay.target = port
            await r.until("both have got the message", lambda: sent_to >= {"k1", "k2"})
            await r.until(
                "both have logged it",
                lambda: all(r.processes[n].events("link to another replica failed") for n in names[:2]),
            )
            tasks.cancel_scope.cancel()
        await answers(r, "k1")
        await answers(r, "k2")
        # The group works on: the entry is in nobody's log.
        assert await r.write("key", b"value", "k1", "k2") > 0
