"""The former name of `zincladder tasks`."""

from __future__ import annotations

from click.testing import CliRunner

from zincladder.cli import main


def test_the_former_command_name_works_and_is_not_listed_in_the_help() -> None:
    runner = CliRunner()
    group = ["--group=g", "--at=k1=127.0.0.1:1"]
    for name in ("tasks", "duties"):
        for command in ("status", "move", "pause", "resume"):
            result = runner.invoke(main, [name, *group, command, "--help"])
            assert result.exit_code == 0 and f"{name} {command}" in result.output
    listed = runner.invoke(main, ["--help"]).output
    assert "  tasks " in listed and "  duties " not in listed
