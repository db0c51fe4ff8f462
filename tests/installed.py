"""Checks that the command line and a front run from an installed wheel, without files of the checkout."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

from tests.support.front_configuration import configuration

TIMEOUT_SECONDS = 20.0  # for the command, and for the end of the front


def main(site: Path) -> int:
    """Returns 0 if `zincladder --help` and a front run from `site` without the checkout, else 1."""
    env = os.environ | {"PYTHONPATH": str(site), "RELAY_CONFIG": str(site / "config.json")}
    member = {"name": "s-00000001", "address": "127.0.0.1:9", "zone": "edge", "type": "small"}
    (site / "config.json").write_text(json.dumps(configuration([member | {"status": "up"}])))
    command = [sys.executable, str(site / "bin" / "zincladder"), "--help"]
    help_run = subprocess.run(
        command, cwd=site, env=env, capture_output=True, timeout=TIMEOUT_SECONDS, check=False
    )
    front = subprocess.Popen(
        [sys.executable, "-m", "zincladder"], cwd=site, env=env, stderr=subprocess.PIPE, text=True
    )
    assert front.stderr is not None
    first_line = front.stderr.readline()
    front.send_signal(signal.SIGTERM)
    rest = front.communicate(timeout=TIMEOUT_SECONDS)[1]
    succeeded = (
        help_run.returncode == 0
        and b"ready" in help_run.stdout
        and '"ready"' in first_line
        and front.returncode == 0
    )
    print(
        "installed wheel:", "ok" if succeeded else f"FAILED {help_run} {first_line} {rest} {front.returncode}"
    )
    return 0 if succeeded else 1


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1])))
