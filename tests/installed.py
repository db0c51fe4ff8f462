"""Starts the commands and a front from an installed wheel: nothing of the checkout may be missed there."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

from tests.support.front_configuration import configuration

LIMIT = 20.0  # seconds for each


def main(site: Path) -> int:
    """0 if `zincladder --help` and a front run from `site`, with nothing of the checkout on the path."""
    env = os.environ | {"PYTHONPATH": str(site), "RELAY_CONFIG": str(site / "config.json")}
    member = {"name": "s-00000001", "address": "127.0.0.1:9", "zone": "edge", "type": "small"}
    (site / "config.json").write_text(json.dumps(configuration([member | {"status": "up"}])))
    command = [sys.executable, str(site / "bin" / "zincladder"), "--help"]
    asked = subprocess.run(command, cwd=site, env=env, capture_output=True, timeout=LIMIT, check=False)
    front = subprocess.Popen(
        [sys.executable, "-m", "zincladder"], cwd=site, env=env, stderr=subprocess.PIPE, text=True
    )
    assert front.stderr is not None
    said = front.stderr.readline()
    front.send_signal(signal.SIGTERM)
    rest = front.communicate(timeout=LIMIT)[1]
    good = asked.returncode == 0 and b"ready" in asked.stdout and '"ready"' in said and front.returncode == 0
    print("installed wheel:", "ok" if good else f"FAILED {asked} {said} {rest} {front.returncode}")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1])))
