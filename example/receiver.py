"""A toy receiver of the fleet's figures: prints who pushed under which token, and refuses older ones."""

from __future__ import annotations

import asyncio

from zincladder.tasks.fence import Fence

FENCE = Fence()


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
    size = len(await reader.readexactly(int(fields["content-length"])))
    task, _, token = fields["x-zincladder-fence"].partition(" ")
    # Only in memory here: a real receiver stores the highest token before it answers.
    rejection = FENCE.admit(task, int(token))
    print(rejection or f"{task}, token {token}: {size} bytes", flush=True)
    writer.write(f"HTTP/1.1 {409 if rejection else 204} -\r\nContent-Length: 0\r\n\r\n".encode())
    await writer.drain()
    writer.close()


async def main() -> None:
    await asyncio.start_server(serve, "127.0.0.1", 9105)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
