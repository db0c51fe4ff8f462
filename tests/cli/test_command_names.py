"""The names of the operators' commands, and the earlier ones that go on."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from zincladder.cli import main


@pytest.mark.parametrize("earlier, name", [("keep", "replica"), ("keepers", "replicas")])
def test_an_earlier_name_runs_the_same_command_and_is_not_listed(earlier: str, name: str) -> None:
    assert main.commands[earlier].callback is main.commands[name].callback
    assert main.commands[earlier].params == main.commands[name].params
    listed = CliRunner().invoke(main, ["--help"]).output
    assert f"\n  {name} " in listed and f"\n  {earlier} " not in listed
    assert CliRunner().invoke(main, [earlier, "--help"]).exit_code == 0


@pytest.mark.parametrize("command", ["status", "add", "remove", "hand-over"])
def test_the_commands_on_a_group_are_found_under_both_names(command: str) -> None:
    for name in ("replicas", "keepers"):
        given = [name, "--group", "g", "--at", "k1=127.0.0.1:1", command, "--help"]
        assert CliRunner().invoke(main, given).exit_code == 0
