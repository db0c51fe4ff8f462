"""A caller of a group: finds the leader, and tells whether a request was done, was not, or may have been."""

from __future__ import annotations

import os
from collections.abc import Mapping

import anyio

from zincladder.config import parse_address
from zincladder.consensus import rpc
from zincladder.consensus.errors import OutcomeUnknownError, RequestFailedError
from zincladder.consensus.key_value_state import CompareAndSwap, CompareAndSwapResult, VersionedValue
from zincladder.links.connection import LINK_ERRORS, Link, connect
from zincladder.links.errors import HandshakeRejectedError
from zincladder.links.frames import VERSION, Hello

# Requests that change nothing: after a lost link they can be sent again.
READ_ONLY_REQUESTS = (rpc.GetByPrefix, rpc.GetStatus, rpc.GetProgress, rpc.CollectCounters)
RETRY_SECONDS = 0.1  # before the replicas are asked once more who leads
REQUEST_TIMEOUT_SECONDS = 8.0
INSTANCE_ID_BYTES = 8


class Client:
    """One caller. Not for two tasks at once."""

    def __init__(self, group: str, addresses: Mapping[str, str], name: str, role: str = "operator") -> None:
        self._addresses = dict(addresses)
        self._hello = Hello(VERSION, group, role, name, os.urandom(INSTANCE_ID_BYTES).hex())
        self._last_number = 0

    async def request_from(
        self, place: str, body: rpc.RequestBody, timeout_seconds: float = REQUEST_TIMEOUT_SECONDS
    ) -> rpc.ResponseBody:
        """One request to the replica at an address, whatever its role. One of LINK_ERRORS if that fails."""
        link, _ = await connect(parse_address(place), self._hello)
        try:
            with anyio.fail_after(timeout_seconds):
                return await self._exchange(link, body)
        finally:
            await link.close()

    async def _exchange(self, link: Link, body: rpc.RequestBody) -> rpc.ResponseBody:
        self._last_number += 1
        await link.send(rpc.RpcRequest(self._last_number, body))
        while True:
            response: rpc.RpcResponse = await link.receive(rpc.RpcResponse)
            if response.number == self._last_number:
                return response.body

    async def request(
        self, body: rpc.RequestBody, timeout_seconds: float = REQUEST_TIMEOUT_SECONDS
    ) -> rpc.ResponseBody:
        """One request to the leader. RequestFailedError or OutcomeUnknownError without an answer in time."""
        attempt = _Attempt(self._addresses)
        with anyio.move_on_after(timeout_seconds):
            while True:
                attempt.remaining = dict(self._addresses)
                while attempt.remaining:
                    response = await self._try_next(attempt, body)
                    if response is not None:
                        return response
                await anyio.sleep(RETRY_SECONDS)
        if attempt.may_be_done:
            raise OutcomeUnknownError("no answer in time")
        raise RequestFailedError(attempt.reasons())

    async def _try_next(self, attempt: _Attempt, body: rpc.RequestBody) -> rpc.ResponseBody | None:
        """Sends the request to one replica; None where that one does not lead, or can't be reached."""
        name, place = attempt.remaining.popitem()
        try:
            link, _ = await connect(parse_address(place), self._hello)
        except HandshakeRejectedError as error:
            attempt.failures[name] = str(error)
            return None
        except LINK_ERRORS as error:
            attempt.failures[name] = str(error) or "no answer"
            return None
        attempt.may_be_done = not isinstance(body, READ_ONLY_REQUESTS)
        try:
            response = await self._exchange_once(link, body)
        finally:
            await link.close()
        attempt.may_be_done = False
        if not isinstance(response, rpc.NotLeader):
            return response
        attempt.redirected(name, response.leader)
        return None

    async def _exchange_once(self, link: Link, body: rpc.RequestBody) -> rpc.ResponseBody:
        """Guards against doing twice: a change is not sent again once its outcome is unknown."""
        try:
            return await self._exchange(link, body)
        except LINK_ERRORS as error:
            if isinstance(body, READ_ONLY_REQUESTS):
                return rpc.NotLeader("", "")
            reason = str(error) or type(error).__name__
            raise OutcomeUnknownError(f"the link was lost: {reason}") from None

    async def get(
        self, prefix: str, timeout_seconds: float = REQUEST_TIMEOUT_SECONDS
    ) -> dict[str, VersionedValue]:
        """The values whose keys begin so, no older than this call. Raises as `request`."""
        response = await self.request(rpc.GetByPrefix(prefix), timeout_seconds)
        if isinstance(response, rpc.ValuesByPrefix):
            return response.values
        raise RequestFailedError(getattr(response, "reason", str(response)))

    async def compare_and_swap(
        self, key: str, expected: int, data: bytes | None, timeout_seconds: float = REQUEST_TIMEOUT_SECONDS
    ) -> CompareAndSwapResult:
        """Sets a value whose version is `expected`. Raises as `request`."""
        response = await self.request(CompareAndSwap(key, expected, data), timeout_seconds)
        if isinstance(response, rpc.OutcomeUnknown):
            raise OutcomeUnknownError(response.reason)
        if isinstance(response, rpc.RequestFailed):
            raise RequestFailedError(response.reason)
        assert isinstance(response, CompareAndSwapResult)
        return response


class _Attempt:
    """What one request has come to so far, over all replicas."""

    def __init__(self, addresses: Mapping[str, str]) -> None:
        self.remaining = dict(addresses)  # replicas of this round; the last one is asked next
        self.failures: dict[str, str] = {}
        self.may_be_done = False  # a change was sent, and no answer has come

    def redirected(self, name: str, leader: str) -> None:
        """A replica does not lead; the one that it names is asked next."""
        self.failures[name] = f"led by {leader}" if leader else "knows no leader"
        if leader in self.remaining:
            self.remaining[leader] = self.remaining.pop(leader)

    def reasons(self) -> str:
        failures = (f"{name}: {reason}" for name, reason in sorted(self.failures.items()))
        return "; ".join(failures) or "no replica is named"
