"""Dials replicas, and stays for the answer of one that is slow to answer the handshake. Uses anyio."""

from __future__ import annotations

from types import TracebackType
from typing import NamedTuple

import anyio
import anyio.abc

from zincladder.config import Address
from zincladder.links.connection import Link, connect
from zincladder.links.errors import HandshakeRejectedError
from zincladder.links.frames import Hello, Welcome

PATIENCE_SECONDS = 2.0  # after this time without an answer, the caller may dial another replica, or dial anew
HANDSHAKE_TIMEOUT_SECONDS = 15.0  # after this time an unanswered connection is closed
MAX_UNANSWERED_DIALS = 5  # of one replica; the oldest is given up for one more


class DialedLink(NamedTuple):
    """A link after the handshake, and the replica that it was dialed for."""

    name: str
    link: Link
    welcome: Welcome


class _Dial:
    """One connection whose handshake is not answered yet."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.scope = anyio.CancelScope()
        self.result: DialedLink | None = None
        self.error: Exception | None = None

    @property
    def is_done(self) -> bool:
        return self.result is not None or self.error is not None


class Dialer:
    """Connects to replicas; an async context manager, which closes the unanswered connections at its end.

    A connection on which a replica does not answer in time is kept, because dialing anew would make a slow
    replica begin anew. The next call dials once more, in case the first connection is cut off, and returns
    whichever is answered first. The replica takes each link for one that is read: those that are answered
    while the caller has a link are closed, so that no message is sent over a link that nobody reads.
    """

    def __init__(self, hello: Hello) -> None:
        """`hello` begins each handshake."""
        self._hello = hello
        self._dials: list[_Dial] = []  # oldest first
        self._dial_done = anyio.Event()
        self._caller_has_link = False  # from the return of `connect` until the next call

    async def __aenter__(self) -> Dialer:
        """Starts to accept dials."""
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Closes what was not returned by `connect`."""
        self._tasks.cancel_scope.cancel()
        try:
            await self._tasks.__aexit__(None, None, None)
        finally:
            for dial in self._dials:
                if dial.result is not None:
                    await dial.result.link.close()

    async def connect(self, name: str, address: Address) -> DialedLink:
        """Dials a replica, and returns the first link that is answered: of this dial or of an earlier one.

        Raises HandshakeRejectedError if a replica rejects the connection, one of CONNECTION_ERRORS or
        FrameError if this connection fails, and TimeoutError after PATIENCE_SECONDS.
        """
        self._caller_has_link = False
        unanswered = [dial for dial in self._dials if dial.name == name]
        if len(unanswered) >= MAX_UNANSWERED_DIALS:
            unanswered[0].scope.cancel()
        dial = _Dial(name)
        self._dials.append(dial)
        self._tasks.start_soon(self._run, dial, address)
        with anyio.fail_after(PATIENCE_SECONDS):
            while True:
                answered = self._take_finished(dial)
                if answered is not None:
                    break
                await self._dial_done.wait()
        self._caller_has_link = True
        await self._drop_surplus(answered)
        return answered

    async def _drop_surplus(self, answered: DialedLink) -> None:
        """Gives up the other dials of the same replica, and closes links that are answered already."""
        for dial in tuple(self._dials):
            if dial.result is not None:
                self._dials.remove(dial)
                await dial.result.link.close()
            elif dial.name == answered.name:
                dial.scope.cancel()

    def _take_finished(self, newest: _Dial) -> DialedLink | None:
        """Returns a link whose handshake is answered; raises the error of the newest dial, or a rejection."""
        finished = [dial for dial in self._dials if dial.is_done]
        for dial in finished:
            if dial.result is not None:
                self._dials.remove(dial)
                return dial.result
        for dial in finished:
            self._dials.remove(dial)
        for dial in finished:
            if dial.error is not None and (dial is newest or isinstance(dial.error, HandshakeRejectedError)):
                raise dial.error
        return None

    async def _run(self, dial: _Dial, address: Address) -> None:
        try:
            with dial.scope:
                link, welcome = await connect(address, self._hello, HANDSHAKE_TIMEOUT_SECONDS)
                if self._caller_has_link:
                    await link.close()
                else:
                    dial.result = DialedLink(dial.name, link, welcome)
        except Exception as error:  # `connect` raises it, or drops it with an earlier dial
            dial.error = error
        finally:
            if not dial.is_done and dial in self._dials:
                self._dials.remove(dial)
            self._dial_done.set()
            self._dial_done = anyio.Event()
