"""What operators ask of a running front, and the command line that asks it."""

from __future__ import annotations

import json
import socket
import stat
import subprocess
import sys
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import dns.flags
import dns.message
import pytest
from click.testing import CliRunner, Result

from tests.stands import Resolver, client, configuration, serve, world
from zincladder.cli import main
from zincladder.config import ConfigError
from zincladder.control.command_server import bind
from zincladder.control.commands import answer

pytestmark = pytest.mark.anyio
ROOT = Path(__file__).resolve().parent.parent


async def command(*words: str) -> Result:
    return await anyio.to_thread.run_sync(partial(CliRunner().invoke, main, list(words)))


async def test_operators_see_who_calls_and_block_and_trust(tmp_path: Path) -> None:
    path = str(tmp_path / "control")
    operator = {"admission": {}, "control": {"socket": path}}
    admission = partial(command, "admission", "--socket", path)
    async with world(serve, operator=operator) as w, client(w) as c:
        assert stat.S_IMODE(Path(path).stat().st_mode) == 0o600
        await c.ask()
        assert (await c.reply()).kind == "served"
        shown = json.loads((await admission("top", "--json")).output)
        (row,) = shown["sources"]
        assert (row["source"], row["lane"], row["connections"], row["served"]) == ("127.0.0.1", "new", 1, 1)
        assert shown["descriptors"]["clients"] == 1
        assert "127.0.0.1" in (await admission("top")).output
        one = json.loads((await admission("show", "127.0.0.1")).output)
        assert (one["network"], one["network_connections"]) == ("127.0.0.0/24", 1)
        assert (await admission("block", "127.0.0.0/8", "--for", "10m")).output.endswith(
            "1 idle connections ended\n"
        )
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)), anyio.fail_after(2):
            await c.stream.receive()
        assert (await admission("unblock", "127.0.0.0/8")).exit_code == 0
        assert (await admission("trust", "127.0.0.1")).exit_code == 0
        async with client(w) as again:
            await again.ask()
            assert (await again.reply()).kind == "served"
            assert json.loads((await admission("show", "127.0.0.1")).output)["lane"] == "listed"
        for words, said in (
            (("unblock", "10.0.0.0/8"), "was not blocked"),
            (("show", "10.0.0.1"), "not on record"),
            (("show", "x"), "not an address"),
            (("block", "10.0.0.1/8"), "host bits set"),
            (("block", "10.0.0.0/8", "--for", "soon"), "no time like"),
        ):
            found = await admission(*words)
            assert found.exit_code and said in found.output
    assert not Path(path).exists()


@pytest.mark.parametrize(
    "line", [b"", b"[]", b"{}", b"nonsense", b'{"do": 3}', b'{"do": "x"}', b"[" * 60_000, b"\xff\xfe"]
)
def test_whatever_is_asked_an_answer_comes(line: bytes) -> None:
    found = json.loads(answer({}, line, 0.0))
    assert found["error"] and list(found) == ["error"]


def test_a_socket_that_a_dead_front_left_is_replaced_and_nothing_else_is(tmp_path: Path) -> None:
    path = tmp_path / "control"
    first = bind(str(path))
    with pytest.raises(ConfigError, match="another front"):
        bind(str(path))
    first.close()
    bind(str(path)).close()
    path.unlink()
    path.write_text("kept")
    with pytest.raises(ConfigError, match="no socket"):
        bind(str(path))
    assert path.read_text() == "kept"


def test_check_names_each_fault_with_its_key(tmp_path: Path) -> None:
    data: dict[str, Any] = configuration([])
    good, bad, table = tmp_path / "good.json", tmp_path / "bad.json", tmp_path / "operator.toml"
    good.write_text(json.dumps(data))
    data["settings"] = json.loads(json.dumps(data["settings"]))
    data["listen"] = "nowhere"
    data["settings"]["categories"][1]["onTime"] = "soon"
    data["limits"] = {"sockets": "many"}
    bad.write_text(json.dumps(data))
    table.write_text(
        '[dns]\nlisten = "127.0.0.1:0"\nzone = "a.org"\nhost = [{name = "x.a.org", class = "film"}]\n'
        '[admission]\nreserve = 3\nper_adress = 1\nnetwork = [{net = "10.0.0.1/8"}]\n[metric]\n'
    )
    found = CliRunner().invoke(main, ["check", str(good), str(bad)])
    assert found.exit_code == 1 and f"{good}: good" in found.output
    for key in ("'listen'", "'settings.categories[1].onTime'", "'limits.sockets'"):
        assert key in found.output
    found = CliRunner().invoke(main, ["check", str(table), str(good)])
    assert found.exit_code == 1
    for key in ("'dns.host[0].class'", "'admission.reserve'", "'admission.per_adress'",
    "'metric'",
                "'admission.network[0].net'"):  # fmt: skip
        assert key in found.output
    shipped = [str(ROOT / "deploy" / name) for name in ("operator.toml", "admission.toml")]
    assert CliRunner().invoke(main, ["check", *shipped, str(ROOT / "example/config.json")]).exit_code == 0


def test_a_front_without_commands_imports_none_of_their_libraries() -> None:
    code = "import sys, zincladder.__main__; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    assert not {"click", "rich", "msgspec", "zincladder.cli", "zincladder.control"} & set(loaded)


async def test_a_front_takes_clients_over_ipv6() -> None:
    async with world(serve, listen="[::1]:0", operator={"admission": {}}) as w, client(w) as c:
        assert w.listening.clients[0] == "::1"
        await c.ask()
        assert (await c.reply()).kind == "served"


async def test_dns_over_udp_is_limited_and_leads_to_tcp_which_has_a_cap() -> None:
    limits = {"dns_rate": 1.0, "dns_burst": 4, "dns_per_address": 2}
    async with world(serve, operator={"admission": limits}) as w:
        assert w.listening.dns
        query = dns.message.make_query("papers.main.example.org", "A").to_wire()
        async with await anyio.create_connected_udp_socket(*w.listening.dns) as udp:
            for _ in range(40):
                await udp.send(query)
            answers = []
            with anyio.move_on_after(1.0):
                while True:
                    answers.append(dns.message.from_wire(await udp.receive()))
        cut = [a for a in answers if a.flags & dns.flags.TC]
        assert 4 <= len(answers) - len(cut) <= 6 and 10 <= len(cut) <= 13 and not any(a.answer for a in cut)
        open_now = [socket.create_connection(w.listening.dns) for _ in range(2)]
        await anyio.sleep(0.1)
        third = socket.create_connection(w.listening.dns)
        third.settimeout(2)
        with pytest.raises(ConnectionResetError):
            assert not await anyio.to_thread.run_sync(third.recv, 1)
            raise ConnectionResetError
        open_now[0].sendall(len(query).to_bytes(2, "big") + query)
        open_now[0].settimeout(2)
        assert await anyio.to_thread.run_sync(open_now[0].recv, 512)
        for sock in (*open_now, third):
            sock.close()
        assert (await Resolver(w.listening.dns).raw(query))[2] & 0x82  # over its rate still: cut short again
