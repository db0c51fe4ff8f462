"""Asks a group: finds its leader, and says plainly whether something was done, was not, or may have been."""

from __future__ import annotations

import os
from collections.abc import Mapping

import anyio

from zincladder.agreement import calls
from zincladder.agreement.registers import Result, Swap, Value
from zincladder.config import parse_address
from zincladder.links.frames import VERSION, Hello, Stranger
from zincladder.links.host import FAILED, Link, connect

ASKS = (calls.Get, calls.Status, calls.Progress, calls.Collect)  # that change nothing
AGAIN = 0.1  # seconds before the keepers are asked once more who leads


class NoAnswer(Exception):
    """Nothing was done: no keeper that leads could be reached; the text says what each one said."""


class Open(Exception):
    """It may have been done: the link, or the leader, was lost after it had been asked."""


class Client:
    """One caller. Not for two tasks at once."""

    def __init__(self, group: str, places: Mapping[str, str], name: str, role: str = "operator") -> None:
        self._places = dict(places)
        self._hello = Hello(VERSION, group, role, name, os.urandom(8).hex())
        self._number = 0

    async def ask_at(self, where: str, what: calls.What, patience: float = 8.0) -> calls.Said:
        """One question to the keeper at an address, whatever its role. One of FAILED if it can't be asked."""
        link, _ = await connect(parse_address(where), self._hello)
        try:
            with anyio.fail_after(patience):
                return await self._call(link, what)
        finally:
            await link.close()

    async def _call(self, link: Link, what: calls.What) -> calls.Said:
        self._number += 1
        await link.send(calls.Call(self._number, what))
        while True:
            answer: calls.Answer = await link.receive(calls.Answer)
            if answer.number == self._number:
                return answer.what

    async def ask(self, what: calls.What, patience: float = 8.0) -> calls.Said:
        """One question to the leader, whoever that is. NoAnswer or Open if none comes in that time."""
        heard: dict[str, str] = {}
        asked = False
        with anyio.move_on_after(patience):
            while True:
                places = dict(self._places)
                while places:
                    name, where = places.popitem()
                    try:
                        link, _ = await connect(parse_address(where), self._hello)
                    except Stranger as fault:
                        heard[name] = str(fault)
                        continue
                    except FAILED as fault:
                        heard[name] = str(fault) or "no answer"
                        continue
                    asked = not isinstance(what, ASKS)
                    try:
                        said = await self._asked(link, what)
                    finally:
                        await link.close()
                    asked = False
                    if not isinstance(said, calls.Moved):
                        return said
                    heard[name] = f"led by {said.leader}" if said.leader else "knows no leader"
                    if said.leader in places:  # next
                        places[said.leader] = places.pop(said.leader)
                await anyio.sleep(AGAIN)
        if asked:
            raise Open("no answer in time")
        raise NoAnswer("; ".join(f"{n}: {w}" for n, w in sorted(heard.items())) or "no keeper is named")

    async def _asked(self, link: Link, what: calls.What) -> calls.Said:
        try:
            return await self._call(link, what)
        except FAILED as fault:
            if isinstance(what, ASKS):
                return calls.Moved("", "")
            raise Open(f"the link was lost: {str(fault) or type(fault).__name__}") from None

    async def get(self, prefix: str, patience: float = 8.0) -> dict[str, Value]:
        """Registers whose keys begin so, no older than this call."""
        said = await self.ask(calls.Get(prefix), patience)
        if isinstance(said, calls.Found):
            return said.values
        raise NoAnswer(getattr(said, "why", str(said)))

    async def swap(self, key: str, expected: int, data: bytes | None, patience: float = 8.0) -> Result:
        """Compare and swap. NoAnswer: not done; Open: perhaps."""
        said = await self.ask(Swap(key, expected, data), patience)
        if isinstance(said, calls.Unknown):
            raise Open(said.why)
        if isinstance(said, calls.Failed):
            raise NoAnswer(said.why)
        assert isinstance(said, Result)
        return said
