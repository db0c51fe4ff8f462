"""The bytes that a front process sends to a client, a cache and the origin, compared with a fixture.

The peers are implemented here with plain sockets, so that they share no code with the front.
"""

from __future__ import annotations

import json
import re
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from tests.support.front_configuration import configuration
from tests.support.golden import assert_matches

ROOT = Path(__file__).resolve().parents[2]
TIMEOUT_SECONDS = 10.0
FIELDS = {
    "route": "page", "trace": "00000000000000a1", "patience": "2000", "entity": "7f3a9c21e0b4d655",
    "slice": "0", "set": "17",
}  # fmt: skip


class Server:
    """A cache or the origin: records each line that the front sends, and answers by the request's class."""

    def __init__(self, name: str, kind: str, zone: str) -> None:
        self.listening = socket.create_server(("127.0.0.1", 0))
        _, port = self.listening.getsockname()
        self.endpoint = {
            "name": name, "address": f"127.0.0.1:{port}", "zone": zone, "type": kind,
            "group": 0, "status": "up", "weight": 1, "since_ms": 0,
        }  # fmt: skip
        self.lines: list[str] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listening.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, sock.makefile("rb") as lines:
            try:
                while line := lines.readline():
                    words = line.decode().split()
                    body = lines.read(int(words[3]) + 2) if words[0] == "fetch" else b""
                    self.lines.append((line + body).decode())
                    if words[0] == "stats":
                        sock.sendall(f"{words[1]} alive meter=util:0.5;inflight:1;x1:0.5 0\r\n".encode())
                    elif words[0] == "fetch":
                        sock.sendall(self._answer(words[1], words[2]))
            except OSError:
                return

    def _answer(self, trace: str, fields: str) -> bytes:
        if "cls=booking" in fields:
            return f"{trace} 500 - 0\r\n".encode()
        if "cls=video" in fields:
            return b""  # no answer, so that the client can withdraw the request
        return f"{trace} 200 tell=local,rev=aa,since=1 5\r\nhello\r\n".encode()

    def wait_for(self, pattern: str) -> str:
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            for line in list(self.lines):
                if re.match(pattern, line):
                    return re.sub(r"limit=\d+", "limit=N", line)
            time.sleep(0.01)
        raise AssertionError(f"no line matches {pattern!r} in {self.lines}")


@contextmanager
def front(folder: Path, *servers: Server) -> Iterator[socket.socket]:
    """Runs a front process that knows these servers; yields a client's connection to it."""
    path, log = folder / "config.json", folder / "log"
    path.write_text(json.dumps(configuration([server.endpoint for server in servers])))
    with log.open("wb") as errors:
        process = subprocess.Popen(
            [sys.executable, "-m", "zincladder"], cwd=ROOT, env={"RELAY_CONFIG": str(path)}, stderr=errors
        )
    try:
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while '"ready"' not in log.read_text():
            assert time.monotonic() < deadline and process.poll() is None, log.read_text()
            time.sleep(0.01)
        (ready,) = [
            line for line in map(json.loads, log.read_text().splitlines()) if line["event"] == "ready"
        ]
        with socket.create_connection(tuple(ready["clients"]), TIMEOUT_SECONDS) as sock:
            yield sock
    finally:
        process.kill()
        process.wait()


def text(value: str) -> bytes:
    return struct.pack(">i", len(value)) + value.encode()


def call(verb: str, number: int, arguments: bytes = b"", kind: int = 1) -> bytes:
    message = (
        struct.pack(">I", 0x80010000 | kind) + text(verb) + struct.pack(">i", number) + arguments + b"\0"
    )
    return struct.pack(">i", len(message)) + message


def handle(number: int, body: bytes = b"", **changes: str) -> bytes:
    fields = FIELDS | {"trace": f"{number:016x}"} | changes
    pairs = b"".join(text(key) + text(value) for key, value in fields.items())
    arguments = b"\x0d\0\1" + struct.pack(">BBi", 11, 11, len(fields)) + pairs
    return call("handle", number, arguments + b"\x0b\0\2" + struct.pack(">i", len(body)) + body)


def reply(sock: socket.socket) -> str:
    with sock.makefile("rb", buffering=0) as stream:
        size = struct.unpack(">i", _exactly(stream, 4))[0]
        return _exactly(stream, size).hex()


def _exactly(stream: Any, size: int) -> bytes:
    data = b""
    while len(data) < size:
        received = stream.read(size - len(data))
        assert received, "the front closed the connection"
        data += received
    return data


def test_bytes_between_a_front_and_its_peers(tmp_path: Path) -> None:
    cache, origin = Server("s-00000001", "small", "edge"), Server("s-000000b0", "origin", "main")
    found: dict[str, Any] = {}
    with front(tmp_path, cache, origin) as client:

        def ask(name: str, message: bytes) -> None:
            client.sendall(message)
            found[name] = reply(client)

        ask("status", call("status", 1))
        ask("served", handle(2))
        found["fetch"] = cache.wait_for("fetch 0000000000000002 ")
        ask("served, with what may be left out", handle(3, redo="1", size="12.5", seen="bb"))
        found["fetch, with a tag"] = cache.wait_for("fetch 0000000000000003 ")
        ask("failed", handle(4, b"write", route="booking"))
        found["fetch of the origin"] = origin.wait_for("fetch 0000000000000004 ")
        ask("no such class", handle(5, route="nonsense"))
        ask("a field that cannot be read", handle(6, slice="x"))
        ask("no such method", call("other", 7))
        client.sendall(handle(8, route="video"))
        found["fetch before it is taken back"] = cache.wait_for("fetch 0000000000000008 ")
        client.sendall(call("withdraw", 0, b"\x08\0\1" + struct.pack(">i", 8), kind=4))
        found["abort"] = cache.wait_for("abort 0000000000000008")
        found["stats"] = re.sub(r"p\d+", "pN", cache.wait_for("stats "))
    cache.listening.close()
    origin.listening.close()
    assert_matches("wires/live.json", found)
