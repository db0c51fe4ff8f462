"""Runs replicas and fronts as real processes, with a TCP relay on each link, and injects faults into both.

Tests wait for an observable state with `ProcessCluster.until`, not for a fixed time. `until` fails with the
logs of all processes if the state does not occur. All processes are killed at the end of a test.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import anyio.abc

from tests.support.front_configuration import KEY, SETTINGS, configuration
from tests.support.service_client import Client as ServiceClient
from tests.support.stub_cache import Fetch, StubCache
from zincladder.consensus import rpc
from zincladder.consensus.client import Client
from zincladder.consensus.errors import OutcomeUnknownError, RequestFailedError
from zincladder.consensus.key_value_state import VersionMismatch
from zincladder.links.connection import LINK_ERRORS
from zincladder.policy import change_log
from zincladder.policy.change_states import propose_change
from zincladder.policy.document import canonical, merged
from zincladder.policy.errors import ChangeRejectedError
from zincladder.policy.model import POLICY_KEY, ChangeLogEntry, ChangeOutcome, PolicyRecord, document_id

WAIT_TIMEOUT_SECONDS = 20.0  # the longest wait for a state
GROUP = "test"
HEARTBEAT_MS, ELECTION_TIMEOUT_MS = 40, 250
LEASE = {"seconds": 1.5, "renew_s": 0.25, "check_s": 1.0, "clear_s": 0.3, "act_s": 0.1, "patient_s": 4.0}


class Relay:
    """A TCP relay for the connections that one process makes to another.

    `blocked` names the directions in which nothing passes: "to" the target, "back" from it, or both. Data
    sent in a blocked direction is held and forwarded once it is unblocked, as TCP does after an outage.
    """

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self._tasks, self.target = tasks, 0
        self.port = 0
        self.blocked: set[str] = set()
        self.delay = 0.0
        self.held_chunks = 0  # chunks that are held in a blocked direction
        # Of the next chunk in direction "to" that is longer than this, only this many bytes are forwarded;
        # then the connection is reset. -1: off.
        self.bytes_before_reset = -1
        self._streams: set[anyio.abc.SocketStream] = set()
        self._changed = anyio.Event()

    async def start(self) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self._tasks.start_soon(listener.serve, self._relay)

    def hold(self, *directions: str) -> None:
        """Blocks these directions and unblocks the others."""
        self.blocked = set(directions)
        self._changed.set()
        self._changed = anyio.Event()

    async def reset(self) -> None:
        """Resets all connections, even in the middle of a message."""
        for stream in list(self._streams):
            await self._abort(stream)

    @staticmethod
    async def _abort(stream: anyio.abc.SocketStream) -> None:
        with contextlib.suppress(OSError, ValueError, AttributeError):  # already closed
            sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        await anyio.aclose_forcefully(stream)

    async def _relay(self, inbound: anyio.abc.SocketStream) -> None:
        try:
            async with inbound, await anyio.connect_tcp("127.0.0.1", self.target) as outbound:
                self._streams |= {inbound, outbound}
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._forward, inbound, outbound, "to", tasks)
                    tasks.start_soon(self._forward, outbound, inbound, "back", tasks)
        except* (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            self._streams.discard(inbound)

    async def _forward(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        direction: str,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        with contextlib.suppress(
            OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            while True:
                data = await source.receive()
                if self.delay:
                    await anyio.sleep(self.delay)
                self.held_chunks += 1
                while direction in self.blocked:
                    await self._changed.wait()
                self.held_chunks -= 1
                if direction == "to" and 0 <= self.bytes_before_reset < len(data):
                    await sink.send(data[: self.bytes_before_reset])
                    self.bytes_before_reset = -1
                    await self._abort(source)
                    break
                await sink.send(data)
        self._streams.discard(source)
        tasks.cancel_scope.cancel()


@dataclass
class Process:
    """One process of the program, which can be restarted with the same files."""

    name: str
    folder: Path
    command: list[str]
    environ: dict[str, str] = field(default_factory=dict)
    module: tuple[str, ...] = ("zincladder",)
    popen: subprocess.Popen[bytes] | None = None
    start_count: int = 0
    stopped: bool = False

    @property
    def log_path(self) -> Path:
        return self.folder / f"log-{self.start_count}.txt"

    def start(self) -> None:
        assert self.popen is None
        self.start_count += 1
        with self.log_path.open("wb") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *self.module, *self.command], stderr=log, stdout=log,
                env=os.environ | self.environ,
            )  # fmt: skip

    def events(self, name: str) -> list[dict[str, Any]]:
        """Returns the log lines with that event since the process was last started."""
        found = []
        for line in self.log_path.read_text().splitlines():
            with contextlib.suppress(ValueError):
                data = json.loads(line)
                if data.get("event") == name:
                    found.append(data)
        return found

    def send(self, number: int) -> None:
        assert self.popen is not None
        self.popen.send_signal(number)

    def stop(self) -> None:
        """Pauses the process with SIGSTOP; `resume` resumes it."""
        self.send(signal.SIGSTOP)
        self.stopped = True

    def resume(self) -> None:
        self.send(signal.SIGCONT)
        self.stopped = False

    def kill(self) -> None:
        if self.popen is not None:
            self.popen.kill()
            self.popen.wait()
            self.popen = None

    async def ended(self) -> int:
        """Waits until the process exits by itself, and returns its exit status.

        Raises TimeoutError after WAIT_TIMEOUT_SECONDS.
        """
        assert self.popen is not None
        with anyio.fail_after(WAIT_TIMEOUT_SECONDS):
            while self.popen.poll() is None:
                await anyio.sleep(0.01)
        status = self.popen.returncode
        self.popen = None
        return status


class ProcessCluster:
    """Replicas and fronts as processes, with the faults and commands that tests apply to them."""

    def __init__(self, folder: Path, tasks: anyio.abc.TaskGroup, drift: float = 0.0) -> None:
        self._folder, self._tasks = folder, tasks
        # If not 0, the clocks of fronts run slow and those of replicas fast by this fraction, and the time of
        # day jumps in all processes.
        self.drift = drift
        self.processes: dict[str, Process] = {}
        self.ports: dict[str, int] = {}
        self.control_ports: dict[str, int] = {}
        self.relays: dict[tuple[str, str], Relay] = {}
        self.reserved_sockets: list[socket.socket] = []

    def _module(self, drift: float) -> tuple[str, ...]:
        return ("tests.support.jumping_clocks", str(drift)) if drift else ("zincladder",)

    async def until(self, what: str, condition: Callable[[], Any]) -> Any:
        """Waits until `condition` returns a true value, and returns that value.

        Raises AssertionError with the logs of all processes after WAIT_TIMEOUT_SECONDS.
        """
        with anyio.move_on_after(WAIT_TIMEOUT_SECONDS):
            while True:
                found = condition()
                if hasattr(found, "__await__"):
                    found = await found
                if found:
                    return found
                await anyio.sleep(0.02)
        raise AssertionError(f"not reached within {WAIT_TIMEOUT_SECONDS} s: {what}\n{self.logs()}")

    def logs(self) -> str:
        return "\n".join(
            f"--- {p.name}, start {p.start_count}\n{p.log_path.read_text()[-3000:]}"
            for p in self.processes.values()
            if p.log_path.exists()
        )

    async def relay(self, a: str, b: str) -> Relay:
        """Returns the relay for connections from a to b, and starts it if it is new."""
        if (a, b) not in self.relays:
            self.relays[a, b] = Relay(self._tasks)
            await self.relays[a, b].start()
        return self.relays[a, b]

    # Fronts ---------------------------------------------------------------------------------------

    async def front(
        self,
        name: str,
        caches: list[StubCache],
        cut_off: str = "stop",
        port: int = 0,
        duties: Sequence[str] = (),
        **settings: Any,
    ) -> Process:
        """Starts a front that reaches each replica through a relay; it listens, but may not be ready yet.

        The front follows the group's policy. If `duties` has lines, they become its [duties] table, and it
        takes part in singleton tasks instead.
        """
        folder = self._folder / name
        (folder / "tmp").mkdir(parents=True)
        address = f"127.0.0.1:{port}"
        data = configuration([c.endpoint() for c in caches], name=name, listen=address, control="127.0.0.1:0")
        # An attempt carries the maximum age of an acceptable copy while a purge may not have reached all
        # caches yet. `goneEverywhere` keeps this purge, which is one hour old, in that state. The age sent is
        # then the class's fresh time, which shows under which policy the request was decided.
        data["settings"] = merged(SETTINGS, settings)
        data["settings"]["domain"] = data["settings"]["domain"] | {"goneEverywhere": 80_000.0}
        hour_ago = int((time.time() - 3600) * 1000)
        data["known"]["updates"].append({"index": 2, "evict": {"ref": KEY, "shard": 0, "unix_ms": hour_ago}})
        (folder / "config.json").write_text(json.dumps(data))
        replicas = sorted(n for n in self.ports if n.startswith("k"))
        addresses = [f'{k} = "127.0.0.1:{(await self.relay(name, k)).port}"' for k in replicas]
        for replica in replicas:
            self.relays[name, replica].target = self.ports[replica]
        table, first = ("duties", duties) if duties else ("policy", (f'cut_off = "{cut_off}"',))
        lines = [f"[{table}]", f'group = "{GROUP}"', *first, f"[{table}.keepers]", *addresses]
        (folder / "operator.toml").write_text("\n".join(lines))
        environ = {
            "RELAY_CONFIG": str(folder / "config.json"),
            "ZINCLADDER_OPERATOR": str(folder / "operator.toml"),
            "TMPDIR": str(folder / "tmp"),
        }
        process = self.processes[name] = Process(name, folder, [], environ, self._module(-self.drift))
        await self.start_front(name)
        return process

    async def start_front(self, name: str) -> None:
        """Starts a front and waits until it listens.

        A front that follows the policy serves only after it has received the policy.
        """
        process = self.processes[name]
        process.start()
        (event, *_) = await self.until(f"{name} listens", lambda: process.events("ready"))
        self.ports[name] = event["clients"][1]
        self._reserve(self.ports[name])
        self.control_ports[name] = event["operators"][1]

    def _reserve(self, port: int) -> None:
        """Binds a front's port until the test ends, as clients still connect to it while the front is down.

        SO_REUSEADDR is not set on this socket: otherwise the system could give the port to a listener of
        another test, which has happened.
        """
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(("127.0.0.1", port))
        self.reserved_sockets.append(sock)

    async def ready(self, name: str) -> str:
        """Returns a front's reply to READY."""
        return (await self.told(name, b"READY\n")).strip()

    async def told(self, name: str, line: bytes) -> str:
        """Sends a line to a front's control address and returns the reply, or "" if there is none."""
        try:
            async with await anyio.connect_tcp("127.0.0.1", self.control_ports[name]) as stream:
                await stream.send(line)
                with anyio.fail_after(2):
                    return (await stream.receive()).decode()
        except (OSError, TimeoutError, anyio.EndOfStream):
            return ""

    async def serving(self, *names: str) -> None:
        """Waits until these fronts report that they are ready."""
        for name in names:

            async def is_ready(name: str = name) -> bool:
                return await self.ready(name) == "SUCCESS"

            await self.until(f"{name} is ready", is_ready)

    def block_front(self, name: str, *ways: str) -> None:
        """Blocks what a front sends to replicas ("to"), what they send to it ("back") or both.

        Without a direction it unblocks both.
        """
        for (a, _), relay in self.relays.items():
            if a == name:
                relay.hold(*ways)

    # Changes --------------------------------------------------------------------------------------

    async def record(self) -> PolicyRecord:
        return change_log.read(await self.client_of_replicas().get("")).record

    def client_of_replicas(self) -> Client:
        return self.client(*(n for n in self.ports if n.startswith("k") and not self.processes[n].stopped))

    async def propose(self, mark: int, **settings: Any) -> tuple[int, str]:
        """Proposes a policy whose mark is visible in each answer.

        Returns the proposed version and "", or 0 and the reason why the proposal was rejected.
        """
        client = self.client_of_replicas()
        data = canonical({"settings": merged(settings_with_mark(mark), settings)})
        stored = change_log.read(await client.get(""))
        base = stored.record.version
        try:
            new = propose_change(stored.record, base, document_id(data), "test", f"mark {mark}", 0.0)
        except ChangeRejectedError as error:
            return 0, str(error)
        assert new.open_change is not None
        for swap in (change_log.write_document(data), change_log.write_record(stored.record_version, new)):
            result = await client.compare_and_swap(swap.key, swap.expected, swap.data)
            if isinstance(result, VersionMismatch) and swap.key == POLICY_KEY:
                return 0, "another proposal came first"
        return new.open_change.version, ""

    async def outcome(self, version: int) -> ChangeLogEntry:
        """Waits until a change has ended, and returns its entry in the change log."""

        async def ended() -> ChangeLogEntry | None:
            try:
                record = await self.record()
            except (RequestFailedError, OutcomeUnknownError):
                return None
            return next((p for p in record.log if p.version == version), None)

        entry: ChangeLogEntry = await self.until(f"the change to version {version} ends", ended)
        return entry

    async def change(self, mark: int, **settings: Any) -> ChangeLogEntry:
        """Repeats a proposal until it is stored, waits until the change ends, and returns its log entry.

        If the reply to a proposal was lost, its change may already be active; it is found in the change log.
        """
        while True:
            try:
                version, _ = await self.propose(mark, **settings)
            except (RequestFailedError, OutcomeUnknownError):
                version = 0
            if version:
                return await self.outcome(version)
            record = await self.record()
            done = [p for p in record.log if p.note == f"mark {mark}"]
            activated = next((p for p in done if p.outcome is ChangeOutcome.ACTIVATED), None)
            if activated:
                return activated
            await anyio.sleep(0.05)

    async def change_until_activated(self, mark: int) -> ChangeLogEntry:
        """Repeats a change until it is activated, since one that too few fronts confirm is withdrawn."""
        with anyio.fail_after(2 * WAIT_TIMEOUT_SECONDS):
            while (past := await self.change(mark)).outcome is not ChangeOutcome.ACTIVATED:
                await anyio.sleep(0.1)
        return past

    # Replicas -------------------------------------------------------------------------------------

    async def replica(self, name: str, founders: list[str], others: list[str]) -> Process:
        """Writes the file of a replica, which reaches the others through relays, and does not start it."""
        folder = self._folder / name
        folder.mkdir()
        lines = [
            "[lease]", *(f"{key} = {value}" for key, value in LEASE.items()),
            "[keeper]", f'group = "{GROUP}"', f'name = "{name}"', 'listen = "127.0.0.1:0"',
            f'directory = "{folder / "kept"}"',
            f"heartbeat_ms = {HEARTBEAT_MS}", f"election_ms = {ELECTION_TIMEOUT_MS}",
            "[keeper.members]", *(f'{n} = "127.0.0.1:1"' for n in founders), "[keeper.via]",
        ]  # fmt: skip
        for other in others:
            if other != name:
                lines.append(f'{other} = "127.0.0.1:{(await self.relay(name, other)).port}"')
        file = folder / "keeper.toml"
        file.write_text("\n".join(lines))
        process = Process(name, folder, ["replica", str(file)], module=self._module(self.drift))
        self.processes[name] = process
        return process

    async def replicas(self, count: int, spare: int = 0) -> list[str]:
        """Starts a group of `count` replicas, and writes files for `spare` more without starting them."""
        names = [f"k{n}" for n in range(1, count + spare + 1)]
        for name in names:
            await self.replica(name, names[:count] if name in names[:count] else [], names)
        for name in names[:count]:
            await self.start(name)
        return names

    async def start(self, name: str) -> None:
        """Starts a replica and waits until it listens."""
        process = self.processes[name]
        process.start()
        started = await self.until(
            f"{name} listens", lambda: process.events("replica started") or self._has_exited(process)
        )
        assert started is not True, f"{name} exited before it listened\n{self.logs()}"
        self.ports[name] = started[0]["port"]
        for (_, to), relay in self.relays.items():
            if to == name:
                relay.target = self.ports[name]

    @staticmethod
    def _has_exited(process: Process) -> bool:
        return process.popen is not None and process.popen.poll() is not None

    async def restart(self, name: str) -> None:
        self.processes[name].kill()
        await self.start(name)

    def cut(self, name: str, *, heard: bool = True, hears: bool = True) -> None:
        """Blocks what a replica sends to other replicas (`heard`), what is sent to it (`hears`), or both.

        `hears` also blocks its replies to fronts.
        """
        for (a, b), relay in self.relays.items():
            # A replica a sends messages to a replica b on the connection that a opened; only b's handshake
            # goes "back" on it.
            if a == name and heard:
                relay.hold("to", "back")
            if b == name and hears:
                relay.hold("to", "back")

    def heal(self) -> None:
        for relay in self.relays.values():
            relay.hold()

    def client(self, *names: str) -> Client:
        addresses = {n: f"127.0.0.1:{p}" for n, p in self.ports.items() if not names or n in names}
        return Client(GROUP, addresses, "test")

    async def status(self, name: str) -> rpc.ReplicaStatus | None:
        try:
            reply = await self.client().request_from(f"127.0.0.1:{self.ports[name]}", rpc.GetStatus(), 1.0)
        except LINK_ERRORS:
            return None
        assert isinstance(reply, rpc.ReplicaStatus)
        return reply

    async def leader(self, *excluded: str) -> str:
        """Waits until a replica leads with a majority of the voters reachable, and returns its name."""

        async def find_leader() -> str:
            for name, process in self.processes.items():
                if process.popen is None or name in excluded or name not in self.ports:
                    continue
                status = await self.status(name)
                if status and status.role == "leader" and 2 * len(status.silent_peers) < len(status.voters):
                    return name
            return ""

        return str(await self.until("a leader", find_leader))

    async def write(self, key: str, data: bytes, *names: str) -> int:
        """Sets a register, retrying until it succeeds, and returns its version.

        Only this caller may write the register.
        """
        client = self.client(*names)
        while True:
            try:
                old = (await client.get(key)).get(key)
                if old and old.data == data:
                    return old.version
                result = await client.compare_and_swap(key, old.version if old else 0, data)
            except (RequestFailedError, OutcomeUnknownError):
                continue
            if hasattr(result, "version") and type(result).__name__ == "Swapped":
                return int(result.version)


def free_port() -> int:
    """Returns a free port below the ephemeral range, so that the system assigns it to no other socket."""
    while True:
        port = random.SystemRandom().randrange(10_000, 30_000)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port


def settings_with_mark(mark: int) -> dict[str, Any]:
    """Returns settings whose mark shows under which policy a request was decided.

    The mark raises the class's fresh time, which the front sends as `cap` and the caches return.
    """
    return {"domain": {"freshFor": [0.0, 1000.0 + mark, 0.0]}}


async def answer_with_cap(_: StubCache, fetch: Fetch) -> None:
    """Answers a fetch with its `cap`, which shows under which policy the request was decided."""
    await fetch.answer(200, "tell=local,rev=aa,since=1", fetch.fields.get("cap", "0").encode())


@dataclass
class Asked:
    """One request of a client and its result."""

    front: str
    began: float
    ended: float
    kind: str  # "served", "booked", "Throttled", "Broken", "lost"
    mark: int = 0


class Traffic:
    """Clients that send requests to every front, one at a time on each connection.

    Every BOOKING-th request is a booking, which must run at most once. A request whose connection was closed
    before the answer is retried once on a new connection, as the platform's clients do.
    """

    BOOKING = 8
    TRACES = itertools.count(1)

    def __init__(
        self,
        r: ProcessCluster,
        tasks: anyio.abc.TaskGroup,
        names: Sequence[str],
        each: int = 2,
        pause: float = 0.01,
    ) -> None:
        self._cluster, self.history = r, list[Asked]()
        self.running, self._pause = True, pause
        for name in names:
            for _ in range(each):
                tasks.start_soon(self._client, name)

    async def _client(self, name: str) -> None:
        number = retries = 0  # the request to retry (0: send a new one), and how often it was retried
        while self.running:
            began = anyio.current_time()
            try:
                async with await anyio.connect_tcp("127.0.0.1", self._cluster.ports[name]) as stream:
                    client = ServiceClient(stream)
                    while self.running:
                        began, number = anyio.current_time(), number or next(self.TRACES)
                        booking = number % self.BOOKING == 0
                        fields = {"route": "booking" if booking else "page", "patience": "2000"}
                        seq = await client.ask(b"order" if booking else b"", trace=f"{number:016x}", **fields)
                        with anyio.fail_after(6):
                            reply = await client.reply()
                        number = retries = 0
                        kind, mark = reply.kind, 0
                        if kind == "served" and booking:
                            kind = "booked"
                        elif kind == "served":
                            mark = round(float(reply.body) / 1000) - 1000
                        kind = kind if reply.seq == seq else "of another request"
                        self.history.append(Asked(name, began, anyio.current_time(), kind, mark))
                        await anyio.sleep(self._pause)
            except anyio.EndOfStream:
                if retries or not number:
                    self.history.append(Asked(name, began, anyio.current_time(), "lost"))
                    number = 0
                retries = 1 - retries
            except (OSError, TimeoutError, anyio.BrokenResourceError):
                self.history.append(Asked(name, began, anyio.current_time(), "lost"))
                number = retries = 0
                await anyio.sleep(0.03)

    def served(self, name: str, mark: int) -> bool:
        """Returns whether one of the last 400 requests was served by the front under that mark."""
        return any(a.front == name and a.mark == mark for a in self.history[-400:])

    def since(self, name: str, when: float) -> list[Asked]:
        """Returns the requests that were sent to a front after that time."""
        return [a for a in self.history if a.front == name and a.began > when]

    def check_invariants(self) -> None:
        """Checks that each answer is to the request sent, of an expected kind, and under no outdated policy.

        A request that begins after an answer has arrived may not be served under an older policy than that
        answer, at any front.
        """
        assert {a.kind for a in self.history} <= {"served", "booked", "Throttled", "Broken", "lost"}
        served = sorted((a for a in self.history if a.kind == "served"), key=lambda a: a.ended)
        newest, done = 0, iter(served)
        following = next(done, None)
        for asked in sorted(served, key=lambda a: a.began):
            while following is not None and following.ended < asked.began:
                newest, following = max(newest, following.mark), next(done, None)
            if asked.mark < newest:
                raise AssertionError(f"served under {asked.mark} after {newest} was active: {asked}")


@contextlib.asynccontextmanager
async def process_cluster(folder: Path, drift: float = 0.0) -> AsyncIterator[ProcessCluster]:
    """Provides the processes of a test, and kills them all when the block ends."""
    async with anyio.create_task_group() as tasks:
        cluster = ProcessCluster(folder, tasks, drift)
        try:
            yield cluster
        finally:
            for process in cluster.processes.values():
                if process.popen is not None:
                    with contextlib.suppress(ProcessLookupError):
                        process.resume()
                process.kill()
            for sock in cluster.reserved_sockets:
                sock.close()
            tasks.cancel_scope.cancel()
