"""The client of a replica group gives each request its own response."""

from __future__ import annotations

import anyio
import pytest

from tests.links.test_slow_replicas import SlowReplica, running
from zincladder.consensus import rpc
from zincladder.consensus.client import Client
from zincladder.links.connection import Link

pytestmark = pytest.mark.anyio


def answer_as(name: str, delay_seconds: float) -> SlowReplica:
    async def serve(link: Link) -> None:
        while True:
            request: rpc.RpcRequest = await link.receive(rpc.RpcRequest)
            await anyio.sleep(delay_seconds)
            await link.send(rpc.RpcResponse(request.number - 1, rpc.RequestFailed("of another request")))
            await link.send(rpc.RpcResponse(request.number, rpc.RequestFailed(name)))

    return SlowReplica(serve=serve)


async def test_tasks_that_share_a_client_get_their_own_responses() -> None:
    # Guards against `replicas status`, which asks all replicas at the same time with one client and dropped
    # each response but the last request's: "nobody leads" while a replica did.
    replicas = {name: answer_as(name, delay) for name, delay in (("k1", 0.3), ("k2", 0.2), ("k3", 0.1))}
    responses: dict[str, rpc.ResponseBody] = {}
    async with running(*replicas.values()), anyio.create_task_group() as tasks:
        client = Client("group", {}, "operator")

        async def ask(name: str, address: str) -> None:
            responses[name] = await client.request_from(address, rpc.GetStatus(), 2.0)

        for name, replica in replicas.items():
            tasks.start_soon(ask, name, f"127.0.0.1:{replica.port}")
    assert responses == {name: rpc.RequestFailed(name) for name in replicas}
