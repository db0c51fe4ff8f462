"""Toy caches, parent and origin for the example configuration; each answers with its own name."""

from __future__ import annotations

import asyncio

MEMBER_PORTS = {"s-00000001": 9101, "s-00000002": 9102, "s-000000a0": 9103, "s-000000b0": 9104}


async def serve(name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while line := await reader.readline():
            words = line.decode().split()
            if words[0] in ("stats", "alive"):
                writer.write(f"{words[1]} alive meter=util:0.1;inflight:1;x1:0.1 0\r\n".encode())
            elif words[0] == "fetch":
                await reader.readexactly(int(words[3]) + 2)
                body = f"{name} answers: {words[2]}\n".encode()
                writer.write(
                    f"{words[1]} 200 tell=local,rev=1,since=1 {len(body)}\r\n".encode() + body + b"\r\n"
                )
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main() -> None:
    for name, port in MEMBER_PORTS.items():
        await asyncio.start_server(lambda r, w, name=name: serve(name, r, w), "127.0.0.1", port)
    print("toy members listen on", *MEMBER_PORTS.values(), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
