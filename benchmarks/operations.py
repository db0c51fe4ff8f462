"""The operating day: what an upgrade loses and holds, and what READY and STATS cost at full load.

`--quick` plays 2 upgrades each way, else 20. Upgrades run under clients at a steady rate and a storm of
short connections. 'handed on' has one $TMPDIR for both processes, 'apart' one for each: then both listen by
themselves.
The rows of `listeners` are of plain sockets: what waits in a queue when its listener closes.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

import uvloop

from benchmarks import rig

RATE, CLIENTS, STORM = 150.0, 8, 4
WAYS = ("closed at once", "emptied, then closed", "handed on")


def free() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Process:
    """One front process of an upgrade."""

    def __init__(self, config: dict[str, Any], folder: Path, tmpdir: Path) -> None:
        self.control = free()
        path = folder / f"config-{self.control}.json"
        path.write_text(json.dumps(config | {"control": f"127.0.0.1:{self.control}"}))
        environ = os.environ | {"RELAY_CONFIG": str(path), "TMPDIR": str(tmpdir)}
        environ.pop("ZINCLADDER_OPERATOR", None)
        self.began = time.monotonic()
        self.popen = subprocess.Popen(
            [sys.executable, "-m", "zincladder"], cwd=rig.ROOT, env=environ, stderr=subprocess.DEVNULL
        )

    async def call(self, line: bytes) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.control)
        try:
            writer.write(line)
            return await reader.read()
        finally:
            writer.close()

    async def ready(self) -> float:
        """Waits for SUCCESS; seconds since the start."""
        while time.monotonic() - self.began < 10:
            with contextlib.suppress(OSError):
                if await self.call(b"READY\n") == b"SUCCESS\n":
                    return time.monotonic() - self.began
            await asyncio.sleep(0.01)
        raise RuntimeError("the front did not become ready")

    def rss_mb(self) -> float:
        with contextlib.suppress(OSError, IndexError):
            return int(Path(f"/proc/{self.popen.pid}/statm").read_text().split()[1]) * 4096 / 1e6
        return 0.0


async def storm(where: tuple[str, int], ends: Counter[str]) -> None:
    """New connections all the time, each with one `status`."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(*where)
            writer.write(rig.status(1))
            await reader.readexactly(4)
            ends["answered"] += 1
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            ends["lost"] += 1
        await asyncio.sleep(random.random() * 0.004)


async def upgrades(ports: list[int], many: int, common: bool) -> dict[str, Any]:
    """So many upgrades in a row, and what was lost meanwhile."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        config = rig.configuration(ports, 256, 96)
        where = ("127.0.0.1", free())
        config["listen"] = f"{where[0]}:{where[1]}"

        def start(i: int) -> Process:
            own = folder if common else folder / f"tmp{i}"
            own.mkdir(exist_ok=True)
            return Process(config, folder, own)

        now = start(0)
        await now.ready()
        target = rig.Front(0, *where, rig.Usage(), folder, now.popen)
        count, ends = rig.Count(), Counter[str]()
        clients = [rig.UsualClient(target, f"127.0.2.{i + 1}", RATE / CLIENTS, count) for i in range(CLIENTS)]
        until = time.monotonic() + 1000
        tasks = [asyncio.create_task(c.run(until)) for c in clients]
        tasks += [asyncio.create_task(storm(where, ends)) for _ in range(STORM)]
        starts, memory, leaving = [], [], []
        for i in range(many):
            await asyncio.sleep(0.5)
            old, now = now, start(i + 1)
            starts.append(await now.ready())
            memory.append(old.rss_mb() + now.rss_mb())
            told = time.monotonic()
            old.popen.send_signal(signal.SIGTERM)
            await asyncio.to_thread(old.popen.wait)
            leaving.append(time.monotonic() - told)
        await asyncio.sleep(1.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        now.popen.kill()
        now.popen.wait()
    return {
        "upgrades": many,
        "connections": ends["answered"] + ends["lost"],
        "connections_lost": ends["lost"],
        "requests": count.asked,
        "ends": count.ends,
        "no_answer": count.lost,
        "ready_s": round(statistics.median(starts), 2),
        "leaves_s": round(statistics.median(leaving), 2),
        "both_mb": round(max(memory), 1),
    }


async def calls(ports: list[int], many: int) -> dict[str, Any]:
    """READY and STATS beside twice the load that the front can serve."""
    with tempfile.TemporaryDirectory() as name:
        config = rig.configuration(ports, 256, 96)
        where = ("127.0.0.1", free())
        config["listen"] = f"{where[0]}:{where[1]}"
        front = Process(config, Path(name), Path(name))
        await front.ready()
        target = rig.Front(front.popen.pid, *where, rig.Usage(), Path(name), front.popen)
        found: dict[str, Any] = {}
        for load in (0.0, 1500.0):
            count, until = rig.Count(), time.monotonic() + 1.0 + many * 0.03
            clients = (
                [rig.UsualClient(target, f"127.0.2.{i + 1}", load / 16, count) for i in range(16)]
                if load
                else []
            )
            tasks = [asyncio.create_task(c.run(until)) for c in clients]
            held = [await asyncio.open_connection("127.0.0.1", front.control) for _ in range(20)]
            await asyncio.sleep(0.5)
            for line in (b"READY\n", b"STATS\n"):
                times = []
                cpu = target.cpu()
                for _ in range(many):
                    began = time.perf_counter()
                    assert await front.call(line)
                    times.append(time.perf_counter() - began)
                key = f"{line.decode().strip()} {'loaded' if load else 'idle'}"
                found[key] = {
                    "p50_ms": round(1000 * statistics.median(times), 2),
                    "most_ms": round(1000 * max(times), 1),
                }
                if not load:
                    found[key]["cpu_us"] = round((target.cpu() - cpu) / many * 1e6)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for _, writer in held:
                writer.close()
        front.popen.kill()
        front.popen.wait()
    return found


def listeners(way: str, rounds: int) -> dict[str, int]:
    """Replaces a listener again and again under a storm of connects: what was refused or reset."""
    where, ends, stop = ("127.0.0.1", free()), Counter[str](), threading.Event()

    def listen() -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(where)
        sock.listen(128)
        sock.setblocking(False)
        return sock

    def connect() -> None:
        while not stop.is_set():
            try:
                with socket.create_connection(where, 2.0) as sock:
                    ends["answered" if sock.recv(1) else "lost"] += 1
            except OSError:
                ends["lost"] += 1

    def answer(sock: socket.socket) -> bool:
        try:
            taken, _ = sock.accept()
        except BlockingIOError:
            return False
        with contextlib.suppress(OSError), taken:
            taken.send(b"x")
        return True

    old = listen()
    threads = [threading.Thread(target=connect) for _ in range(8)]
    for thread in threads:
        thread.start()
    for _ in range(rounds):
        until = time.monotonic() + 0.02
        while time.monotonic() < until:
            answer(old)
        new = socket.socket(fileno=os.dup(old.fileno())) if way == "handed on" else listen()
        new.setblocking(False)
        time.sleep(0.002)  # the queue fills, as it does while a process has other work
        while way == "emptied, then closed" and answer(old):
            pass
        old.close()
        old = new
    stop.set()
    until = time.monotonic() + 3
    while any(t.is_alive() for t in threads) and time.monotonic() < until:
        answer(old)
    old.close()
    return {"lost": ends["lost"], "connections": ends.total()}


async def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="one short round")
    parser.add_argument("--out", type=Path, help="keep a table here")
    options = parser.parse_args()
    many = 2 if options.quick else 20
    result: dict[str, Any] = {"listeners": {way: listeners(way, 10 * many) for way in WAYS}}
    async with rig.members() as ports:
        result["calls"] = await calls(ports, 10 * many)
        for name, common in (("handed on", True), ("apart", False)):
            result[name] = await upgrades(ports, many, common)
    if options.out:
        options.out.mkdir(parents=True, exist_ok=True)
        (options.out / "operations.md").write_text(table(result))
    print(json.dumps(result))
    return 0


def table(result: dict[str, Any]) -> str:
    lines = ["| a listener is replaced | lost | of connections |", "|---|---|---|"]
    lines += [f"| {way} | {r['lost']} | {r['connections']} |" for way, r in result["listeners"].items()]
    names: tuple[str, ...] = (
        "upgrades",
        "connections_lost",
        "connections",
        "no_answer",
        "requests",
        "ends",
        "ready_s",
    )
    names += ("leaves_s", "both_mb")
    lines += ["", f"| upgrade | {' | '.join(names)} |", "|---" * (1 + len(names)) + "|"]
    for way in ("handed on", "apart"):
        lines.append(f"| {way} | {' | '.join(str(result[way][n]) for n in names)} |")
    lines += ["", "| call | p50 ms | most ms | CPU µs |", "|---|---|---|---|"]
    for call, r in result["calls"].items():
        lines.append(f"| {call} | {r['p50_ms']} | {r['most_ms']} | {r.get('cpu_us', '')} |")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    uvloop.install()
    sys.exit(asyncio.run(main()))
