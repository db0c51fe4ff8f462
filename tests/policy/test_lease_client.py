"""Tests that a document of the policy that cannot be handled does not end the front that gets it."""

from __future__ import annotations

from zincladder.config import PolicyConfig
from zincladder.policy.lease_client import FleetPolicy, PolicyHooks


def fail(content: bytes) -> str:
    raise RecursionError("a document that is nested too deeply")


def fail_check(content: bytes) -> tuple[str, ...]:
    raise RecursionError("a document that is nested too deeply")


def test_an_error_over_a_document_is_a_reason_not_to_serve_under_it() -> None:
    # Guards against one document that ends every front of the fleet as it is checked.
    config = PolicyConfig("test", {"k1": "127.0.0.1:1"}, False)
    policy = FleetPolicy(config, "f0", PolicyHooks(fail_check, fail))
    assert policy._validate(b"{}") == ("it could not be checked: RecursionError",)
    policy._apply("document", b"{}")
    assert not policy.participant.serving_version(policy.clock())
