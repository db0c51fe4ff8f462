"""A toy receiver of the fleet's metrics.

It prints the task and the fencing token of each push, and rejects a token lower than one received before.
"""

from __future__ import annotations

import asyncio

from zincladder.tasks.fence import Fence

FENCE = Fence()


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    headers = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
    body_size = len(await reader.readexactly(int(headers["content-length"])))
    task, _, token = headers["x-zincladder-fence"].partition(" ")
    # The highest token is held in memory only; a real receiver must store it durably before it answers.
    rejection = FENCE.admit(task, int(token))
    print(rejection or f"{task}, token {token}: {body_size} bytes", flush=True)
    writer.write(f"HTTP/1.1 {409 if rejection else 204} -\r\nContent-Length: 0\r\n\r\n".encode())
    await writer.drain()
    writer.close()


async def main() -> None:
    await asyncio.start_server(serve, "127.0.0.1", 9105)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
