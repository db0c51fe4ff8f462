"""The requests that the policy commands send to a group: to read the change log and propose changes."""

from __future__ import annotations

import json
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from zincladder.cli.group import group_client, run_call

if TYPE_CHECKING:
    from zincladder.policy.change_log import ChangeLog

Group = tuple[str, dict[str, str]]  # the group's name, and the address of each replica by its name


def read_policy_file(file: Path) -> dict[str, Any]:
    """Reads a policy in JSON or TOML. Raises click.ClickException if it can't be read or is invalid."""
    from zincladder.config import ConfigError
    from zincladder.policy.document import parse_policy

    try:
        content = file.read_bytes()
        if file.suffix == ".toml":
            content = json.dumps(tomllib.loads(content.decode())).encode()
        return parse_policy(content)
    except (OSError, ValueError, ConfigError) as error:
        raise click.ClickException(f"{file}: {error}") from None


def read_change_log(group: Group) -> ChangeLog:
    """Reads the policy's record. The result holds no documents and no expected fronts.

    Documents are fetched one by one, because all of them together may be too large for one message.
    """
    from zincladder.policy import change_log
    from zincladder.policy.model import POLICY_KEY

    return change_log.read(run_call(lambda: group_client(group).get(POLICY_KEY)))


def read_document(group: Group, document: str) -> dict[str, Any]:
    """Reads the policy with this document id; {} for "", which stands for the state before the first policy.

    Raises click.ClickException if the document is no longer stored.
    """
    from zincladder.policy.model import DOCUMENT_PREFIX

    if not document:
        return {}
    key = DOCUMENT_PREFIX + document
    stored = run_call(lambda: group_client(group).get(key)).get(key)
    if stored is None:
        raise click.ClickException(f"document {document} is not kept any more")
    policy: dict[str, Any] = json.loads(stored.data)
    return policy


def document_of_version(change_log: ChangeLog, version: int) -> str:
    """Returns the document id of a version that is or was in force, or was withdrawn.

    Raises click.ClickException if the version is not recorded.
    """
    record = change_log.record
    if version == 0:
        return ""
    if version == record.version:
        return record.document
    for entry in reversed(record.log):
        if entry.version == version:
            return entry.document
    raise click.ClickException(f"there is no version {version} on record")


def differences(group: Group, old_document: str, new: dict[str, Any]) -> list[tuple[str, Any, Any]]:
    """Returns each path that differs between a stored document and a policy, with the old and new value."""
    from zincladder.policy.document import difference

    return difference(read_document(group, old_document), new)


def propose(
    group: Group, policy: dict[str, Any], note: str, author: str, base_version: int | None
) -> tuple[int, str]:
    """Proposes a policy; returns the version and the document id of the change.

    `base_version` is the version that the policy is based on; None stands for the version in force. Raises
    click.ClickException if the proposal is rejected.
    """
    from zincladder.policy import change_log
    from zincladder.policy.change_states import propose_change
    from zincladder.policy.document import canonical
    from zincladder.policy.errors import ChangeRejectedError, InvalidPolicyError
    from zincladder.policy.model import document_id

    content, stored = canonical(policy), read_change_log(group)
    document = document_id(content)
    base = stored.record.version if base_version is None else base_version
    try:
        document_write = change_log.write_document(content)
    except InvalidPolicyError as error:
        raise click.ClickException(str(error)) from None
    try:
        record = propose_change(stored.record, base, document, author, note, time.time())
    except ChangeRejectedError as error:
        raise click.ClickException(f"not proposed: {error}") from None
    assert record.open_change is not None
    _write_or_fail(group, document_write)
    _write_or_fail(group, change_log.write_record(stored.record_version, record), proposal=True)
    return record.open_change.version, document


def _write_or_fail(group: Group, write: Any, proposal: bool = False) -> None:
    """Writes a register with compare-and-swap. Raises click.ClickException if the write fails.

    A version mismatch is a failure for a proposal only. For a document it means that the same document is
    already stored.
    """
    from zincladder.consensus.key_value_state import CapacityExceeded, VersionMismatch

    result = run_call(lambda: group_client(group).compare_and_swap(write.key, write.expected, write.data))
    if isinstance(result, CapacityExceeded):
        raise click.ClickException(f"not proposed: {result.reason}")
    if proposal and isinstance(result, VersionMismatch):
        record = read_change_log(group).record
        change = record.open_change
        if change is not None:
            raise click.ClickException(
                f"not proposed: version {change.version} by {change.author} is under way"
            )
        raise click.ClickException(f"not proposed: version {record.version} came first")


def leader_view(group: Group) -> dict[str, Any]:
    """Returns the leader's view of the fronts; {} if the reply holds none."""
    from zincladder.consensus import rpc

    reply = run_call(lambda: group_client(group).request(rpc.GetProgress()))
    view: dict[str, Any] = json.loads(reply.data) if isinstance(reply, rpc.ProgressReport) else {}
    return view


def forget_front(group: Group, front: str) -> None:
    """Removes a front from the expected ones. Raises click.ClickException if it is not expected."""
    from zincladder.policy.model import EXPECTED_FRONT_PREFIX

    client = group_client(group)
    key = EXPECTED_FRONT_PREFIX + front
    stored = run_call(lambda: client.get(key)).get(key)
    if stored is None:
        raise click.ClickException(f"{front!r} is not expected")
    run_call(lambda: client.compare_and_swap(key, stored.version, None))
