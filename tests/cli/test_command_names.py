"""The names of the operators' commands, and their former names, which still work."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from zincladder.cli import main


@pytest.mark.parametrize("earlier, name", [("keep", "replica"), ("keepers", "replicas")])
def test_a_former_name_runs_the_same_command_and_is_not_listed_in_the_help(earlier: str, name: str) -> None:
    assert main.commands[earlier].callback is main.commands[name].callback
    assert main.commands[earlier].params == main.commands[name].params
    help_text = CliRunner().invoke(main, ["--help"]).output
    assert f"\n  {name} " in help_text and f"\n  {earlier} " not in help_text
    assert CliRunner().invoke(main, [earlier, "--help"]).exit_code == 0


@pytest.mark.parametrize("command", ["status", "add", "remove", "hand-over"])
def test_commands_on_a_group_work_under_the_present_and_the_former_name(command: str) -> None:
    for name in ("replicas", "keepers"):
        arguments = [name, "--group", "g", "--at", "k1=127.0.0.1:1", command, "--help"]
        assert CliRunner().invoke(main, arguments).exit_code == 0
