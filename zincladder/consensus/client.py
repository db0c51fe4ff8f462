"""A client of a replica group.

It finds the leader, and reports whether a request was done, was not done, or may have been done.
"""

from __future__ import annotations

import os
from collections.abc import Mapping

import anyio

from zincladder.config import parse_address
from zincladder.consensus import rpc
from zincladder.consensus.errors import OutcomeUnknownError, RequestFailedError
from zincladder.consensus.key_value_state import CompareAndSwap, CompareAndSwapResult, VersionedValue
from zincladder.links.connection import LINK_ERRORS, Link, connect
from zincladder.links.dialer import Dialer
from zincladder.links.errors import HandshakeRejectedError
from zincladder.links.frames import VERSION, Hello

# These change nothing, so they are safe to send again after the connection was lost.
READ_ONLY_REQUESTS = (rpc.GetByPrefix, rpc.GetStatus, rpc.GetProgress, rpc.CollectCounters)
RETRY_SECONDS = 0.1  # delay before all replicas are tried again
REQUEST_TIMEOUT_SECONDS = 8.0
INSTANCE_ID_BYTES = 8


class Client:
    """Sends requests to a group, each on a connection of its own; tasks may share it."""

    def __init__(self, group: str, addresses: Mapping[str, str], name: str, role: str = "operator") -> None:
        self._addresses = dict(addresses)
        self._hello = Hello(VERSION, group, role, name, os.urandom(INSTANCE_ID_BYTES).hex())
        self._last_number = 0

    async def request_from(
        self, address: str, body: rpc.RequestBody, timeout_seconds: float = REQUEST_TIMEOUT_SECONDS
    ) -> rpc.ResponseBody:
        """Sends one request to the replica at `address`, leader or not, and returns its response.

        Raises one of LINK_ERRORS if the replica can't be reached or does not respond within the timeout.
        """
        with anyio.fail_after(timeout_seconds):
            link, _ = await connect(parse_address(address), self._hello, timeout_seconds)
            try:
                return await self._exchange(link, body)
            finally:
                await link.close()

    async def _exchange(self, link: Link, body: rpc.RequestBody) -> rpc.ResponseBody:
        self._last_number = number = self._last_number + 1
        await link.send(rpc.RpcRequest(number, body))
        while True:
            response: rpc.RpcResponse = await link.receive(rpc.RpcResponse)
            if response.number == number:
                return response.body

    async def request(
        self, body: rpc.RequestBody, timeout_seconds: float = REQUEST_TIMEOUT_SECONDS
    ) -> rpc.ResponseBody:
        """Sends one request to the leader and returns its response.

        Raises RequestFailedError if no leader responds within the timeout and nothing was done, and
        OutcomeUnknownError if the request may have been done.
        """
        state = _RequestState(self._addresses)
        with anyio.move_on_after(timeout_seconds):
            async with Dialer(self._hello) as dialer:
                return await self._request_until_answered(state, dialer, body)
        if state.outcome_unknown:
            raise OutcomeUnknownError("no response before the timeout")
        raise RequestFailedError(state.failure_summary())

    async def _request_until_answered(
        self, state: _RequestState, dialer: Dialer, body: rpc.RequestBody
    ) -> rpc.ResponseBody:
        while True:
            state.untried = dict(self._addresses)
            while state.untried:
                response = await self._try_next_replica(state, dialer, body)
                if response is not None:
                    return response
            await anyio.sleep(RETRY_SECONDS)

    async def _try_next_replica(
        self, state: _RequestState, dialer: Dialer, body: rpc.RequestBody
    ) -> rpc.ResponseBody | None:
        """Sends the request to one replica. Returns None if another replica has to be tried."""
        name, address = state.untried.popitem()
        try:
            name, link, _ = await dialer.connect(name, parse_address(address))
        except HandshakeRejectedError as error:
            state.failures[name] = str(error)
            return None
        except LINK_ERRORS as error:
            state.failures[name] = str(error) or "no response"
            return None
        state.outcome_unknown = not isinstance(body, READ_ONLY_REQUESTS)
        try:
            response = await self._exchange_once(link, body)
        finally:
            await link.close()
        state.outcome_unknown = False
        if not isinstance(response, rpc.NotLeader):
            return response
        state.follow_redirect(name, response.leader)
        return None

    async def _exchange_once(self, link: Link, body: rpc.RequestBody) -> rpc.ResponseBody:
        """Sends the request once. If the link fails, returns NotLeader for a read-only request.

        The caller then tries another replica. A change raises OutcomeUnknownError instead: if it were sent
        again, it could be done twice.
        """
        try:
            return await self._exchange(link, body)
        except LINK_ERRORS as error:
            if isinstance(body, READ_ONLY_REQUESTS):
                return rpc.NotLeader("", "")
            reason = str(error) or type(error).__name__
            raise OutcomeUnknownError(f"the connection was lost before the response: {reason}") from None

    async def get(
        self, prefix: str, timeout_seconds: float = REQUEST_TIMEOUT_SECONDS
    ) -> dict[str, VersionedValue]:
        """Returns the values whose keys begin with `prefix`, as they are at the time of this call or later.

        Raises the errors of `request`.
        """
        response = await self.request(rpc.GetByPrefix(prefix), timeout_seconds)
        if isinstance(response, rpc.ValuesByPrefix):
            return response.values
        raise RequestFailedError(getattr(response, "reason", str(response)))

    async def compare_and_swap(
        self, key: str, expected: int, data: bytes | None, timeout_seconds: float = REQUEST_TIMEOUT_SECONDS
    ) -> CompareAndSwapResult:
        """Sets the value of `key` to `data` if its version is `expected`; None as `data` removes the key.

        0 as `expected` means that the key must not exist yet. Raises the errors of `request`.
        """
        response = await self.request(CompareAndSwap(key, expected, data), timeout_seconds)
        if isinstance(response, rpc.OutcomeUnknown):
            raise OutcomeUnknownError(response.reason)
        if isinstance(response, rpc.RequestFailed):
            raise RequestFailedError(response.reason)
        assert isinstance(response, CompareAndSwapResult)
        return response


class _RequestState:
    """The progress of one request while the replicas are tried in turn."""

    def __init__(self, addresses: Mapping[str, str]) -> None:
        self.untried = dict(addresses)  # replicas not yet tried in this round; the last one is tried next
        self.failures: dict[str, str] = {}  # why each replica did not handle the request
        self.outcome_unknown = False  # a change was sent and no response has arrived

    def follow_redirect(self, name: str, leader: str) -> None:
        """Records that the replica `name` does not lead, and makes `leader` the next replica to try."""
        self.failures[name] = f"not the leader, which is {leader}" if leader else "knows no leader"
        if leader in self.untried:
            self.untried[leader] = self.untried.pop(leader)

    def failure_summary(self) -> str:
        failures = (f"{name}: {reason}" for name, reason in sorted(self.failures.items()))
        return "; ".join(failures) or "no replica addresses are given"
