"""The operating day: operators' calls, figures, new settings while requests are open, upgrades."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import anyio.lowlevel
import pytest

from tests.conftest import ORIGIN_MEMBER, Driver, cache, finals, get, sends, settings
from tests.processes import free_port
from tests.stands import (
    SETTINGS,
    Client,
    Coordinator,
    Fetch,
    StubCache,
    World,
    client,
    configuration,
    serve,
    world,
)
from tests.test_endings import rest
from zincladder import config as configs
from zincladder.admission.seats import SETTLED
from zincladder.config import ConfigError, divide_limits, merge_reloaded, parse_config
from zincladder.control.readiness import Readiness
from zincladder.control.status_calls import MAX_LINE_BYTES, LineReader, StatusCalls
from zincladder.core.request_classes import REMOVED_CLASS_SECONDS, RequestClasses
from zincladder.core.statistics import MAX_CLASSES, Statistics
from zincladder.discovery.freshness import INITIAL_SYNC_SECONDS, Freshness
from zincladder.handover.model import MAX_OTHER_PROCESSES, Hello, HelloError, ProcessGenerations, decode
from zincladder.net.feed import Feed
from zincladder.routing import interface as api

pytestmark = pytest.mark.anyio
READ = api.RequestClass(latency_objective=0.3, timeout=2.0)
WRITE = api.RequestClass(
    latency_objective=0.3, timeout=2.0, idempotency=api.Idempotency.NONE, uncacheable=True
)

# Calls --------------------------------------------------------------------------------------------


def test_ready_says_what_is_missing_and_stats_ends_with_eot() -> None:
    why = ""
    calls = StatusCalls(lambda: why, lambda: [("succeeded.page", 812), ("outstanding", 14)])
    assert calls.answer(b"READY\r") == b"SUCCESS\n"
    why = "this process is ending"
    assert calls.answer(b"READY") == b"FAILURE this process is ending\n"
    assert calls.answer(b"STATS") == b"app.succeeded.page=812\napp.outstanding=14\nEOT\n"


@pytest.mark.parametrize("line", [b"", b"ready", b"STATS now", b"\xff\xfe\x00", b"x" * 200])
def test_a_call_that_is_not_known_gets_one_line_that_says_so(line: bytes) -> None:
    said = StatusCalls(str, list).answer(line)
    assert said.startswith(b"FAILURE ") and said.count(b"\n") == 1 and said.isascii() and len(said) < 200


def test_a_line_comes_in_pieces_and_is_bounded() -> None:
    line = LineReader()
    assert [line.feed(b) for b in (b"RE", b"A", b"DY\nmore")] == [None, None, b"READY"]
    with pytest.raises(ValueError, match="over"):
        LineReader().feed(b"x" * (MAX_LINE_BYTES + 1))


async def call(w: World, line: bytes = b"STATS\n") -> bytes:
    assert w.listening.operators
    async with await anyio.connect_tcp(*w.listening.operators) as stream:
        await stream.send(line)
        said = b""
        with anyio.fail_after(1.0):
            while True:
                try:
                    said += await stream.receive()
                except anyio.EndOfStream:
                    return said


def read(said: bytes) -> dict[str, int]:
    lines = said.decode().splitlines()
    assert lines[-1] == "EOT"
    return {name: int(value) for name, _, value in (line.partition("=") for line in lines[:-1])}


async def test_the_address_answers_beside_callers_who_say_nothing() -> None:
    async with world(serve, control="127.0.0.1:0", limits={"sockets": 64}) as w:
        assert w.listening.operators
        held = [socket.create_connection(w.listening.operators) for _ in range(20)]
        for sock in held[::2]:
            sock.sendall(b"STA")
        while await call(w, b"READY\n") != b"SUCCESS\n":
            await anyio.sleep(0.05)
        assert read(await call(w))["app.discovered"] == 1
        held[-2].sendall(b"TS\n")  # the last to come still has its place
        assert (await anyio.to_thread.run_sync(held[-2].recv, 4096)).startswith(b"app.")
        for sock in held:
            sock.close()


@pytest.mark.parametrize("said", [b"READY\n" * 200, b"x" * 2000], ids=["calls", "bytes"])
async def test_what_a_caller_sends_past_its_call_takes_no_answer_away(said: bytes) -> None:
    async with world(serve, control="127.0.0.1:0") as w:
        assert w.listening.operators
        with socket.create_connection(w.listening.operators) as sock:
            sock.sendall(said)  # more than is read at once: a close over the rest would be a reset
            sock.setblocking(False)
            answer = await rest(sock)
        assert answer in (b"SUCCESS\n", b"FAILURE a call of over 256 bytes\n") or b"coordinator" in answer


async def test_each_end_of_a_request_is_counted_once_under_its_class() -> None:
    async def script(_: StubCache, fetch: Fetch) -> None:
        await fetch.answer(500)

    async with world(serve, origin=script, control="127.0.0.1:0") as w, client(w) as c:
        before = read(await call(w))
        assert before["app.aborted.booking"] == before["app.succeeded.page"] == before["app.forwards"] == 0
        for route in ("page", "page", "booking", "nonsense"):
            await c.ask(route=route)
            await c.reply()
        after = read(await call(w))
        ends = {name: count for name, count in after.items() if count and "." in name[4:]}
        # A class that does not exist is counted under none.
        assert ends == {"app.succeeded.page": 2, "app.aborted.booking": 1}
        assert after["app.forwards"] == 3 and after["app.outstanding"] == 0


def test_classes_that_come_and_go_all_day_are_bounded_in_the_figures() -> None:
    figures = Statistics()
    for i in range(10 * MAX_CLASSES):
        figures.retain_classes([f"c{i}", "page"], ())
        figures.record_answer(f"c{i}", "served")
        figures.record_answer("page", "served")
    assert len(figures.classes) <= MAX_CLASSES + 2 and len(figures.answers) <= MAX_CLASSES + 2
    assert figures.answers["page", "served"] == 10 * MAX_CLASSES


def test_ready_is_no_until_the_coordinator_spoke_and_again_when_it_ends() -> None:
    state: dict[str, Any] = {"ready": 0, "now": 10.0, "stopping": False}
    fresh = Freshness(min_grace_seconds=0.5)
    fresh.connecting(10.0)
    readiness = Readiness(
        lambda: state["ready"], lambda: fresh.has_synced(state["now"]), lambda: state["stopping"]
    )
    assert "no member" in readiness.missing()
    state["ready"] = 1
    assert "coordinator" in readiness.missing()
    state["now"] = 10.0 + INITIAL_SYNC_SECONDS - 0.01
    assert "coordinator" in readiness.missing()
    state["now"] = 10.0 + INITIAL_SYNC_SECONDS  # one that stalls keeps no front out of service
    assert not readiness.missing()
    heard = Freshness(min_grace_seconds=0.5)
    heard.connecting(10.0)
    heard.frame_received(10.1)
    assert not Readiness(lambda: 1, lambda: heard.has_synced(10.1), lambda: False).missing()
    state["stopping"] = True
    assert "ending" in readiness.missing()


# New settings -------------------------------------------------------------------------------------


def test_an_open_request_keeps_its_number_and_rules_through_any_change() -> None:
    table = RequestClasses(["page", "scan"], [READ, READ])
    assert table.replace(["page", "scan"], [READ, WRITE], {1}, 0.0) == (0, 1, 1)
    assert table.number_of("scan", 0.0) == 2 and table.rules[1] == READ and table.rules[2] == WRITE
    assert table.replace(["page"], [READ], {1}, 10.0) == (0, 1, 2)  # dropped, with a request open under 1
    assert (
        table.number_of("scan", 10.0 + REMOVED_CLASS_SECONDS / 2) == 2
        and table.number_of("scan", 10.0 + REMOVED_CLASS_SECONDS) is None
    )
    # Back again as a read: never under the number that an open request holds, nor the one that rests.
    table.replace(["page", "scan"], [READ, READ], {1}, 11.0)
    assert table.number_of("scan", 11.0) == 3 and (table.names[1], table.rules[1]) == ("scan", READ)


def test_numbers_are_used_again_once_nothing_holds_them() -> None:
    table = RequestClasses(["page"], [READ])
    for i in range(100):
        table.replace(["page", f"c{i}"], [READ, READ], set(), i * 2 * REMOVED_CLASS_SECONDS)
    assert len(table.names) <= 3 and table.current["c99"] < 3 and table.current["page"] == 0


def test_the_router_keeps_attempts_and_effect_of_what_is_open_and_what_it_has_learned() -> None:
    d = Driver(max_attempts=4)
    for n in range(1, 20):
        d.serve(n, key=n, request_class=1, kb=50.0)
    learned = d.state.transfer_times[1].mean_seconds
    sent = get(d.ask(100, request_class=0))
    fewer = settings(max_attempts=1, classes=(*d.state.settings.classes[:3], READ, WRITE))
    d.give(api.SettingsChanged(fewer, (0, 1, 2, -1, -1)))
    assert (
        d.state.transfer_times[1].mean_seconds == learned > 0 and d.state.transfer_times[3].mean_seconds == 0
    )
    again = sends(d.end(100, 0, sent.endpoint, api.AttemptOutcome.UNREACHABLE))
    assert len(again) == 1  # it was taken when four were allowed
    first = get(d.ask(101, request_class=0))
    assert finals(d.end(101, 0, first.endpoint, api.AttemptOutcome.UNREACHABLE))  # one now
    write = sends(d.ask(102, request_class=4))
    assert [a.endpoint for a in write] == [ORIGIN_MEMBER.id]
    assert isinstance(finals(d.end(102, 0, ORIGIN_MEMBER.id, api.AttemptOutcome.RESET))[0], api.Fail)


def test_a_process_more_at_this_front_halves_what_a_cold_cache_is_sent() -> None:
    def sent(processes: int) -> int:
        d = Driver([cache(0, started_at=99.0), ORIGIN_MEMBER], may_bypass_caches=False)
        s = d.state.settings
        seats = (0, s.routers_by_zone[1] + 2 * (processes - 1), 2)
        d.give(api.SettingsChanged(settings(may_bypass_caches=False, routers_by_zone=seats), tuple(range(4))))
        count = 0
        for n in range(400):
            d.now += 0.01
            count += bool(sends(d.ask(n, key=n, kb=30.0)))
        return count

    assert sent(1) > 0 and sent(2) == pytest.approx(sent(1) / 2, rel=0.2)


def test_processes_of_one_front_share_its_limits() -> None:
    whole = parse_config(configuration([], limits={"memory_mb": 80, "sockets": 384}))
    half = divide_limits(whole, 2)
    assert divide_limits(whole, 1) is whole and half.sockets == 192 and half.settings.routers == 2
    assert half.settings.routers_by_zone == (0, 2) and 2 * half.most_open < whole.most_open
    assert divide_limits(parse_config(configuration([], limits={"memory_mb": 32})), 2).most_open > 20


def changed(change: Callable[[dict[str, Any]], object]) -> dict[str, Any]:
    data: dict[str, Any] = json.loads(json.dumps(configuration([], 4222)))
    change(data)
    return data


@pytest.mark.parametrize(
    ("change", "key"),
    [
        (lambda d: d.pop("settings"), "settings"),
        (lambda d: d.pop("coordinator"), "coordinator"),
        (lambda d: d["settings"].pop("ceilings"), "settings.ceilings"),
        (lambda d: d["settings"]["ceilings"].pop("attemptsCap"), "settings.ceilings.attemptsCap"),
        (lambda d: d["settings"]["domain"].pop("freshFor"), "settings.domain.freshFor"),
        (lambda d: d["settings"]["categories"][1].pop("deadline"), "settings.categories[1].deadline"),
        (lambda d: d["settings"]["categories"][1].pop("effect"), "settings.categories[1].effect"),
        (lambda d: d["settings"]["categories"][0].update(deadline=0), "settings.categories[0].deadline"),
        (lambda d: d["settings"]["categories"][0].update(deadline=-1), "settings.categories[0].deadline"),
        (lambda d: d["settings"]["categories"][0].update(deadline=float("nan")), "categories[0].deadline"),
        (lambda d: d["settings"]["categories"][0].update(deadline=float("inf")), "categories[0].deadline"),
        (
            lambda d: d["settings"]["categories"][0].update(deadline=10**400),
            "settings.categories[0].deadline",
        ),
        (lambda d: d["settings"]["categories"][0].update(deadline="2"), "settings.categories[0].deadline"),
        (lambda d: d["settings"]["ceilings"].update(attemptsCap=0), "settings.ceilings.attemptsCap"),
        (lambda d: d["settings"]["categories"].clear(), "settings.categories"),
        (lambda d: d["settings"]["categories"][0].update(name="page"), "settings.categories"),
        (lambda d: d["settings"].update(domain=[]), "settings.domain"),
    ],
)
def test_a_file_that_is_not_whole_is_turned_down_with_its_key(
    change: Callable[[dict[str, Any]], object], key: str
) -> None:
    old = parse_config(changed(lambda d: None))
    with pytest.raises(ConfigError) as fault:
        merge_reloaded(old, parse_config(changed(change)))
    assert key in str(fault.value)


def test_what_a_running_front_cannot_change_waits_for_the_next_start() -> None:
    old = parse_config(changed(lambda d: None))
    new, waiting = merge_reloaded(
        old, parse_config(changed(lambda d: d.update(listen="127.0.0.1:9") or d["settings"].update(az=0)))
    )
    assert waiting == ["listen", "settings: zone"]
    assert new.listen == old.listen and new.settings.zone == 1


# A real process: SIGHUP and upgrades ----------------------------------------------------------------


class Front:
    """One real process, on addresses of its own."""

    def __init__(self, folder: Path, config: dict[str, Any], **environ: str) -> None:
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        more = {
            "RELAY_CONFIG": str(path),
            "TMPDIR": str(folder),
            "RELAY_CONTROL": f"127.0.0.1:{free_port()}",
        } | environ
        self.path, self.control = path, more["RELAY_CONTROL"]
        self.log = folder / f"log{len(list(folder.glob('log*')))}"
        self.process = subprocess.Popen(
            [sys.executable, "-m", "zincladder"],
            cwd=Path(configs.__file__).parents[2],
            env=os.environ | more,
            stderr=self.log.open("wb"),
        )

    def ask(self, line: bytes) -> bytes:
        host, _, port = self.control.partition(":")
        with socket.create_connection((host, int(port)), 1.0) as sock:
            sock.sendall(line)
            said = b""
            while got := sock.recv(4096):
                said += got
        return said

    def ready(self) -> bool:
        try:
            return self.ask(b"READY\n") == b"SUCCESS\n"
        except OSError:
            return False

    async def until(self, true: Callable[[], bool]) -> None:
        with anyio.fail_after(10):
            while not await anyio.to_thread.run_sync(true):
                await anyio.sleep(0.02)

    async def ended(self) -> int:
        with anyio.fail_after(10):
            return await anyio.to_thread.run_sync(self.process.wait)


def with_classes(*classes: dict[str, Any], **ceilings: Any) -> dict[str, Any]:
    return SETTINGS | {
        "categories": [*SETTINGS["categories"], *classes],
        "ceilings": SETTINGS["ceilings"] | ceilings,
    }


async def test_sighup_adds_a_class_turns_broken_files_down_and_keeps_what_is_open(tmp_path: Path) -> None:
    gate = anyio.Event()

    async def late(_: StubCache, fetch: Fetch) -> None:
        await gate.wait()
        await serve(_, fetch)

    caches = [StubCache("s-00000001", 0, late), StubCache("s-000000b0", 2)]
    coordinator, moved = Coordinator(), Coordinator()
    async with anyio.create_task_group() as tasks:
        for stub in caches:
            await tasks.start(stub.run)
        await tasks.start(coordinator.run)
        await tasks.start(moved.run)
        listen = f"127.0.0.1:{free_port()}"
        plain = configuration([c.endpoint() for c in caches], coordinator.port) | {"listen": listen}
        front = Front(tmp_path, plain)
        try:
            await front.until(front.ready)
            host, _, port = listen.partition(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                c = Client(stream)
                open_one = await c.ask(patience="5000")
                while not caches[0].fetches:
                    await caches[0].came.wait()
                while not coordinator.streams:
                    await coordinator.followed.wait()
                await coordinator.tell(4, struct.pack(">HQ", 3, 5))
                stamp = {"name": "stamp", "onTime": 0.8, "deadline": 3.0, "effect": "at_most_once"}
                plain["coordinator"] = f"127.0.0.1:{moved.port}"
                good = plain | {"settings": with_classes(stamp, attemptsCap=2)}
                good["settings"]["domain"] = SETTINGS["domain"] | {"neverKept": [False, False, True, True]}
                broken = (
                    "",
                    "[" * 100_000,
                    json.dumps(good)[:-9],
                    json.dumps(plain | {"settings": with_classes(attemptsCap=0)}),
                )
                for i, text in enumerate((*broken, json.dumps(good))):
                    assert not moved.after  # no broken file's coordinator is followed
                    front.path.write_text(text)
                    front.process.send_signal(signal.SIGHUP)
                    name = b"applied=1\n" if i == len(broken) else b"rejected=%d\n" % (i + 1)
                    await front.until(lambda name=name: name in front.ask(b"STATS\n"))  # type: ignore[misc]
                with anyio.fail_after(5):
                    while not moved.after:
                        await moved.followed.wait()
                assert moved.after == [2]  # from the last event on
                assert b"app.succeeded.stamp=0\n" in front.ask(b"STATS\n")
                new = await c.ask(route="stamp")
                assert (await c.reply()).seq == new and len(caches[1].fetches) == 1
                gate.set()
                assert (await c.reply()).seq == open_one
            front.process.send_signal(signal.SIGTERM)
            assert await front.ended() == 0
        finally:
            front.process.kill()
        tasks.cancel_scope.cancel()


async def test_fronts_started_anew_beside_a_crowd_and_without_discovery_are_ready_in_time(
    tmp_path: Path,
) -> None:
    # nine in ten are ready within 10 s; idle clients take what descriptors they get as soon as one listens
    where = ("127.0.0.1", free_port())
    listen = f"{where[0]}:{where[1]}"
    endpoint = StubCache("s-00000001", 0, port=free_port()).endpoint()
    config = configuration([endpoint], free_port(), limits={"sockets": 16}) | {"listen": listen}

    def filled(crowd: list[socket.socket]) -> bool:
        with contextlib.suppress(OSError):
            while len(crowd) < 64:
                crowd.append(socket.create_connection(where, 0.2))
        return len(crowd) == 64

    for _ in range(3):
        crowd: list[socket.socket] = []
        began = anyio.current_time()
        front = Front(tmp_path, config)
        try:
            await front.until(partial(filled, crowd))
            await front.until(front.ready)
            assert anyio.current_time() - began < 10
        finally:
            front.process.kill()
            front.process.wait()
            for sock in crowd:
                sock.close()


STATUS = b"\0\0\0\x17\x80\x01\0\1\0\0\0\6status\0\0\0\1\x02\0\1\1\0"  # one whole call


class Storm:
    """Threads that connect, ask for `status` and leave, all the time; what ends without an answer is lost.

    A thread that is held up between its connect and its call may cross the end of a silent connection: that
    call goes again on a new one, once, as the platform's clients do it.
    """

    def __init__(self, where: tuple[str, int], threads: int = 4) -> None:
        self.where, self.lost, self.answered, self._stop = where, 0, 0, False
        self._threads = [threading.Thread(target=self._run) for _ in range(threads)]
        for thread in self._threads:
            thread.start()

    def _run(self) -> None:
        while not self._stop:
            good, prompt = self._call()
            if not good and not prompt:
                good, _ = self._call()
            self.answered, self.lost = self.answered + good, self.lost + (not good)
            time.sleep(0.001)

    def _call(self) -> tuple[bool, bool]:
        """Whether a call on a new connection was answered, and whether it was sent at once."""
        sent_after = 0.0
        try:
            with socket.create_connection(self.where, 3.0) as sock:
                connected = time.monotonic()
                sock.sendall(STATUS)
                sent_after = time.monotonic() - connected
                good = len(sock.recv(64)) > 4
        except OSError:
            good = False
        return good, sent_after < SETTLED

    def end(self) -> None:
        self._stop = True
        for thread in self._threads:
            thread.join()


async def test_an_upgrade_loses_no_connection_and_no_request(tmp_path: Path) -> None:
    cache_, origin = StubCache("s-00000001", 0), StubCache("s-000000b0", 2)
    async with anyio.create_task_group() as tasks:
        await tasks.start(cache_.run)
        await tasks.start(origin.run)
        where = ("127.0.0.1", free_port())
        config = configuration([cache_.endpoint(), origin.endpoint()]) | {"listen": f"{where[0]}:{where[1]}"}
        fronts = [Front(tmp_path, config)]
        storm = None
        try:
            await fronts[0].until(fronts[0].ready)
            storm = await anyio.to_thread.run_sync(Storm, where)
            for early in (
                False,
                True,
            ):  # and an upgrade on an upgrade, with SIGTERM before the new one is ready
                busy = Client(await anyio.connect_tcp(*where))
                slow = await anyio.connect_tcp(*where)
                await slow.send(STATUS[:9])
                fronts.append(Front(tmp_path, config))
                if early:
                    await fronts[-1].until(lambda log=fronts[-1].log: b"taken over" in log.read_bytes())  # type: ignore[misc]
                else:
                    await fronts[-1].until(fronts[-1].ready)
                    fronts[-1].process.send_signal(signal.SIGHUP)  # while two run
                    await fronts[-1].until(lambda: b"applied=1" in fronts[-1].ask(b"STATS\n"))
                    assert b"applied=0" in fronts[-2].ask(b"STATS\n")  # each has its own figures
                kinds = set()
                fronts[-2].process.send_signal(signal.SIGTERM)
                try:
                    for i in range(10_000):  # never idle: answered until the connection is closed between two
                        await busy.ask(trace=f"{i + 1:016x}")
                        kinds.add((await busy.reply()).kind)
                except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                    pass
                await slow.send(STATUS[9:])  # half was here at the end: it is read and answered
                assert len(await slow.receive()) > 4
                assert kinds <= {"served", "Throttled"} and await fronts[-2].ended() == 0
                await fronts[-1].until(fronts[-1].ready)
            await anyio.to_thread.run_sync(storm.end)
            assert storm.lost == 0 and storm.answered > 50
        finally:
            if storm:
                await anyio.to_thread.run_sync(storm.end)
            for front in fronts:
                front.process.kill()
        tasks.cancel_scope.cancel()


async def test_an_upgrade_takes_along_all_that_an_operators_file_turns_on(tmp_path: Path) -> None:
    dns, metrics, path = free_port(), free_port(), tmp_path / "c.sock"
    operator = tmp_path / "operator.toml"
    operator.write_text(
        f'[dns]\nlisten = "127.0.0.1:{dns}"\nzone = "example.org"\n[[dns.host]]\nname = "p.example.org"\n'
        f'class = "page"\n[metrics]\nlisten = "127.0.0.1:{metrics}"\n[control]\nsocket = "{path}"\n'
        "[admission]\n"
    )
    endpoint = StubCache("s-000000b0", 2, port=1).endpoint()
    config = configuration([endpoint]) | {"listen": f"127.0.0.1:{free_port()}"}
    fronts = [Front(tmp_path, config, ZINCLADDER_OPERATOR=str(operator))]
    ask = [sys.executable, "-m", "zincladder", "admission", "--socket", str(path), "top"]
    try:
        for _ in range(2):
            await fronts[-1].until(fronts[-1].ready)
            fronts.append(Front(tmp_path, config, ZINCLADDER_OPERATOR=str(operator)))
            await fronts[-1].until(fronts[-1].ready)
            subprocess.run(ask, capture_output=True, check=True)
            fronts[-2].process.send_signal(signal.SIGTERM)
            assert await fronts[-2].ended() == 0
            subprocess.run(ask, capture_output=True, check=True)  # the path is the new one's
            for port in (dns, metrics):
                socket.create_connection(("127.0.0.1", port), 1.0).close()
    finally:
        for front in fronts:
            front.process.kill()


async def test_a_meeting_place_that_another_version_took_is_left_to_it(tmp_path: Path) -> None:
    where = f"127.0.0.1:{free_port()}"
    front = Front(
        tmp_path, configuration([StubCache("s-000000b0", 2, port=1).endpoint()]) | {"listen": where}
    )
    path, other = tmp_path / f"zincladder-{where.replace(':', '-')}.sock", tmp_path / "other"
    try:
        await front.until(front.ready)
        await front.until(path.exists)
        other.touch()
        other.rename(path)
        await anyio.sleep(1.5)  # it looks once a second
        assert path.is_file()
    finally:
        front.process.kill()


async def test_a_newcomer_that_dies_leaves_the_old_one_all_and_the_next_meets_it(tmp_path: Path) -> None:
    where = f"127.0.0.1:{free_port()}"
    config = configuration([StubCache("s-000000b0", 2, port=1).endpoint()]) | {"listen": where}
    fronts = [Front(tmp_path, config)]
    try:
        await fronts[0].until(fronts[0].ready)
        for _ in range(2):
            fronts.append(Front(tmp_path, config))
            await fronts[-1].until(fronts[-1].ready)
            assert b"taken over" in (tmp_path / f"log{len(fronts) - 1}").read_bytes()
            fronts[-1].process.kill()
            log = tmp_path / "log0"
            ended = len(fronts) - 1
            await fronts[0].until(
                lambda log=log, ended=ended: log.read_bytes().count(b"other process ended") == ended  # type: ignore[misc]
            )
            path = tmp_path / f"zincladder-{where.replace(':', '-')}.sock"
            inode = path.stat().st_ino  # of the one that died: the old one takes the path back
            await fronts[0].until(lambda path=path, inode=inode: path.stat().st_ino != inode)  # type: ignore[misc]
        assert fronts[0].ready()
        ask = [sys.executable, "-m", "zincladder"]
        for command, said in (
            ("ready", b"SUCCESS"),
            ("stats", b"discovered: 0"),
            ("stats --json", b'"forwards": 0'),
        ):
            done = subprocess.run(
                [*ask, *command.split(), fronts[0].control], capture_output=True, check=True
            )
            assert said in done.stdout
        fronts[0].process.send_signal(signal.SIGTERM)
        assert await fronts[0].ended() == 0 and not path.exists()
        late = subprocess.run(
            [*ask, "ready", "--wait", "0.3s", fronts[0].control], capture_output=True, check=False
        )
        assert late.returncode == 1 and b"refused" in late.stderr
    finally:
        for front in fronts:
            front.process.kill()


@pytest.mark.parametrize("left", ["torn", "dead", "folder"])
async def test_what_a_killed_process_left_behind_harms_nothing(tmp_path: Path, left: str) -> None:
    port = free_port()
    path = tmp_path / f"zincladder-127.0.0.1-{port}.sock"
    if left == "torn":
        path.write_bytes(b"{")
    elif left == "folder":
        path.mkdir()
    else:
        with socket.socket(socket.AF_UNIX) as sock:
            sock.bind(str(path))
    front = Front(
        tmp_path,
        configuration([StubCache("s-000000b0", 2, port=1).endpoint()]) | {"listen": f"127.0.0.1:{port}"},
    )
    try:
        await front.until(front.ready)
    finally:
        front.process.kill()


def test_a_hello_that_is_torn_or_foreign_is_not_believed() -> None:
    good = Hello("127.0.0.1:80", 7).encode()
    assert decode(good, "127.0.0.1:80").pid == 7
    bad = (good[:-3], b"[]\n", b"\xff\n", good.replace(b": 1,", b": 2,"), good.replace(b"7", b'"x"'))
    for data in bad:
        with pytest.raises(HelloError):
            decode(data, "127.0.0.1:80")
    with pytest.raises(HelloError):
        decode(good, "127.0.0.1:81")


def test_processes_are_counted_until_they_end_and_bounded() -> None:
    generations = ProcessGenerations()
    old = generations.add(newer=False)
    assert old and generations.process_count == 2 and not generations.has_successor
    new = generations.add(newer=True)
    assert new and generations.has_successor
    generations.remove(old)
    generations.remove(new)
    assert generations.process_count == 1 and not generations.has_successor
    assert [generations.add(True) is None for _ in range(MAX_OTHER_PROCESSES + 1)].count(True) == 1


async def test_fronts_that_lose_the_coordinator_come_back_at_moments_of_their_own(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tries: dict[int, list[float]] = {}
    for seed in (1, 2):
        slept = tries[seed] = []
        with anyio.CancelScope() as scope:

            async def sleep(seconds: float, slept: list[float] = slept, scope: Any = scope) -> None:
                slept.append(seconds)
                if len(slept) == 6:
                    scope.cancel()
                await anyio.lowlevel.checkpoint()

            monkeypatch.setattr(anyio, "sleep", sleep)
            await Feed(("127.0.0.1", free_port()), 1, lambda news: None, seed).run()
    first, second = tries[1], tries[2]
    assert len(first) == len(second) == 6 and not set(first) & set(second)
    assert 0.2 <= first[-1] <= 0.6 and all(0.02 < s < 0.7 for s in first + second)
