"""Scripts for stub caches that answer in pieces, with errors or malformed data, or not at all."""

from __future__ import annotations

from tests.support.stub_cache import Fetch, Script, StubCache


async def hold(_: StubCache, fetch: Fetch) -> None:
    """Accepts the fetch and never answers it."""


async def cut(_: StubCache, fetch: Fetch) -> None:
    await fetch.stream.aclose()


async def in_pieces(_: StubCache, fetch: Fetch) -> None:
    data = f"{fetch.name} 200 tell=local 6\r\nabcdef\r\n".encode()
    for i in range(len(data)):
        await fetch.stream.send(data[i : i + 1])


def says(status: int, fields: str = "-", body: bytes = b"") -> Script:
    async def script(_: StubCache, fetch: Fetch) -> None:
        await fetch.answer(status, fields, body)

    return script


async def garble(_: StubCache, fetch: Fetch) -> None:
    await fetch.stream.send(b"HTTP/1.1 200 OK\r\n\r\n")


async def too_long(_: StubCache, fetch: Fetch) -> None:
    await fetch.stream.send(f"{fetch.name} 200 - 99999999999\r\n".encode())
