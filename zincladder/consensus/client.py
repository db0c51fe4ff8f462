"""Asks a group: finds its leader, and says plainly whether something was done, was not, or may have been."""

from __future__ import annotations

import os
from collections.abc import Mapping

import anyio

from zincladder.config import parse_address
from zincladder.consensus import rpc
from zincladder.consensus.errors import OutcomeUnknownError, RequestFailedError
from zincladder.consensus.key_value_state import CompareAndSwap, CompareAndSwapResult, VersionedValue
from zincladder.links.connection import LINK_ERRORS, Link, connect
from zincladder.links.frames import VERSION, HandshakeRejectedError, Hello

READ_ONLY_REQUESTS = (
    rpc.GetByPrefix,
    rpc.GetStatus,
    rpc.GetProgress,
    rpc.CollectCounters,
)  # that change nothing
RETRY_SECONDS = 0.1  # seconds before the keepers are asked once more who leads


class Client:
    """One caller. Not for two tasks at once."""

    def __init__(self, group: str, places: Mapping[str, str], name: str, role: str = "operator") -> None:
        self._places = dict(places)
        self._hello = Hello(VERSION, group, role, name, os.urandom(8).hex())
        self._number = 0

    async def ask_at(self, where: str, what: rpc.RequestBody, patience: float = 8.0) -> rpc.ResponseBody:
        """One question to the keeper at an address, whatever its role. One of FAILED if it can't be asked."""
        link, _ = await connect(parse_address(where), self._hello)
        try:
            with anyio.fail_after(patience):
                return await self._call(link, what)
        finally:
            await link.close()

    async def _call(self, link: Link, what: rpc.RequestBody) -> rpc.ResponseBody:
        self._number += 1
        await link.send(rpc.RpcRequest(self._number, what))
        while True:
            answer: rpc.RpcResponse = await link.receive(rpc.RpcResponse)
            if answer.number == self._number:
                return answer.what

    async def ask(self, what: rpc.RequestBody, patience: float = 8.0) -> rpc.ResponseBody:
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
                    except HandshakeRejectedError as fault:
                        heard[name] = str(fault)
                        continue
                    except LINK_ERRORS as fault:
                        heard[name] = str(fault) or "no answer"
                        continue
                    asked = not isinstance(what, READ_ONLY_REQUESTS)
                    try:
                        said = await self._asked(link, what)
                    finally:
                        await link.close()
                    asked = False
                    if not isinstance(said, rpc.NotLeader):
                        return said
                    heard[name] = f"led by {said.leader}" if said.leader else "knows no leader"
                    if said.leader in places:  # next
                        places[said.leader] = places.pop(said.leader)
                await anyio.sleep(RETRY_SECONDS)
        if asked:
            raise OutcomeUnknownError("no answer in time")
        raise RequestFailedError(
            "; ".join(f"{n}: {w}" for n, w in sorted(heard.items())) or "no keeper is named"
        )

    async def _asked(self, link: Link, what: rpc.RequestBody) -> rpc.ResponseBody:
        try:
            return await self._call(link, what)
        except LINK_ERRORS as fault:
            if isinstance(what, READ_ONLY_REQUESTS):
                return rpc.NotLeader("", "")
            raise OutcomeUnknownError(f"the link was lost: {str(fault) or type(fault).__name__}") from None

    async def get(self, prefix: str, patience: float = 8.0) -> dict[str, VersionedValue]:
        """Registers whose keys begin so, no older than this call."""
        said = await self.ask(rpc.GetByPrefix(prefix), patience)
        if isinstance(said, rpc.ValuesByPrefix):
            return said.values
        raise RequestFailedError(getattr(said, "why", str(said)))

    async def compare_and_swap(
        self, key: str, expected: int, data: bytes | None, patience: float = 8.0
    ) -> CompareAndSwapResult:
        """Compare and swap. NoAnswer: not done; Open: perhaps."""
        said = await self.ask(CompareAndSwap(key, expected, data), patience)
        if isinstance(said, rpc.OutcomeUnknown):
            raise OutcomeUnknownError(said.why)
        if isinstance(said, rpc.RequestFailed):
            raise RequestFailedError(said.why)
        assert isinstance(said, CompareAndSwapResult)
        return said
