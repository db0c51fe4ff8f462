"""The command `check` prints every error in configuration files."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from tests.support.front_configuration import configuration
from zincladder.cli import main

ROOT = Path(__file__).resolve().parents[2]


def test_check_names_the_key_of_each_error(tmp_path: Path) -> None:
    data: dict[str, Any] = configuration([])
    valid_file, faulty_file, operator_file = (
        tmp_path / "good.json",
        tmp_path / "bad.json",
        tmp_path / "operator.toml",
    )
    valid_file.write_text(json.dumps(data))
    data["settings"] = json.loads(json.dumps(data["settings"]))
    data["listen"] = "nowhere"
    data["settings"]["categories"][1]["onTime"] = "soon"
    data["limits"] = {"sockets": "many"}
    faulty_file.write_text(json.dumps(data))
    operator_file.write_text(
        '[dns]\nlisten = "127.0.0.1:0"\nzone = "a.org"\nhost = [{name = "x.a.org", class = "film"}]\n'
        '[admission]\nreserve = 3\nper_adress = 1\nnetwork = [{net = "10.0.0.1/8"}]\n[metric]\n'
    )
    result = CliRunner().invoke(main, ["check", str(valid_file), str(faulty_file)])
    assert result.exit_code == 1 and f"{valid_file}: good" in result.output
    for key in ("'listen'", "'settings.categories[1].onTime'", "'limits.sockets'"):
        assert key in result.output
    result = CliRunner().invoke(main, ["check", str(operator_file), str(valid_file)])
    assert result.exit_code == 1
    for key in ("'dns.host[0].class'", "'admission.reserve'", "'admission.per_adress'",
    "'metric'",
                "'admission.network[0].net'"):  # fmt: skip
        assert key in result.output
    shipped = [str(ROOT / "deploy" / name) for name in ("operator.toml", "admission.toml")]
    assert CliRunner().invoke(main, ["check", *shipped, str(ROOT / "example/config.json")]).exit_code == 0
