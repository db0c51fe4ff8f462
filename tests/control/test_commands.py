"""The commands of the control socket, and the command line that sends them."""

from __future__ import annotations

import json
import stat
from functools import partial
from pathlib import Path

import anyio
import pytest
from click.testing import CliRunner, Result

from tests.support.front_world import running_front
from tests.support.service_client import client
from tests.support.stub_cache import serve
from zincladder.cli import main
from zincladder.config import ConfigError
from zincladder.control.command_server import bind
from zincladder.control.commands import answer

pytestmark = pytest.mark.anyio


async def run_command(*words: str) -> Result:
    return await anyio.to_thread.run_sync(partial(CliRunner().invoke, main, list(words)))


async def test_operators_list_sources_and_block_and_trust_networks(tmp_path: Path) -> None:
    path = str(tmp_path / "control")
    operator = {"admission": {}, "control": {"socket": path}}
    admission = partial(run_command, "admission", "--socket", path)
    async with running_front(serve, operator=operator) as w, client(w) as c:
        assert stat.S_IMODE(Path(path).stat().st_mode) == 0o600
        await c.ask()
        assert (await c.reply()).kind == "served"
        report = json.loads((await admission("top", "--json")).output)
        (row,) = report["sources"]
        assert (row["source"], row["lane"], row["connections"], row["served"]) == ("127.0.0.1", "new", 1, 1)
        assert report["descriptors"]["clients"] == 1
        assert "127.0.0.1" in (await admission("top")).output
        source = json.loads((await admission("show", "127.0.0.1")).output)
        assert (source["network"], source["network_connections"]) == ("127.0.0.0/24", 1)
        assert (await admission("block", "127.0.0.0/8", "--for", "10m")).output.endswith(
            "1 idle connections ended\n"
        )
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)), anyio.fail_after(2):
            await c.stream.receive()
        assert (await admission("unblock", "127.0.0.0/8")).exit_code == 0
        assert (await admission("trust", "127.0.0.1")).exit_code == 0
        async with client(w) as second:
            await second.ask()
            assert (await second.reply()).kind == "served"
            assert json.loads((await admission("show", "127.0.0.1")).output)["lane"] == "listed"
        for words, text in (
            (("unblock", "10.0.0.0/8"), "was not blocked"),
            (("show", "10.0.0.1"), "not on record"),
            (("show", "x"), "not an address"),
            (("block", "10.0.0.1/8"), "host bits set"),
            (("block", "10.0.0.0/8", "--for", "soon"), "no time like"),
        ):
            found = await admission(*words)
            assert found.exit_code and text in found.output
    assert not Path(path).exists()


@pytest.mark.parametrize(
    "line", [b"", b"[]", b"{}", b"nonsense", b'{"do": 3}', b'{"do": "x"}', b"[" * 60_000, b"\xff\xfe"]
)
def test_every_invalid_line_gets_an_error_as_answer(line: bytes) -> None:
    found = json.loads(answer({}, line, 0.0))
    assert found["error"] and list(found) == ["error"]


def test_bind_replaces_only_the_socket_of_a_dead_front(tmp_path: Path) -> None:
    path = tmp_path / "control"
    first = bind(str(path))
    with pytest.raises(ConfigError, match="another front"):
        bind(str(path))
    first.close()
    bind(str(path)).close()
    path.unlink()
    path.write_text("kept")
    with pytest.raises(ConfigError, match="not a socket"):
        bind(str(path))
    assert path.read_text() == "kept"


async def test_a_removed_socket_is_opened_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a front that no command reaches after somebody, or a new process that ended before it,
    # has removed the socket's file.
    monkeypatch.setattr("zincladder.control.command_server.PATH_CHECK_SECONDS", 0.05)
    path = tmp_path / "control"
    operator = {"admission": {}, "control": {"socket": str(path)}}
    async with running_front(serve, operator=operator):
        for _ in range(2):
            path.unlink()
            with anyio.fail_after(5):
                while not path.exists():
                    await anyio.sleep(0.01)
            assert (await run_command("admission", "--socket", str(path), "top")).exit_code == 0
            assert stat.S_IMODE(path.stat().st_mode) == 0o600
        path.unlink()
        path.write_text("somebody else's")
        await anyio.sleep(0.2)
    assert path.read_text() == "somebody else's"
