"""Loads the configuration files that environment variables name."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from zincladder.config.errors import ConfigError
from zincladder.config.model import Config, Names, Operator
from zincladder.config.node import parse_json
from zincladder.config.platform import parse_config

CONFIG_VARIABLE = "RELAY_CONFIG"
OPERATOR_VARIABLE = "ZINCLADDER_OPERATOR"
# Environment variables that override a key of the file.
OVERRIDES = {"RELAY_LISTEN": "listen", "RELAY_NAME": "name", "RELAY_CONTROL": "control"}


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Reads the file named by RELAY_CONFIG and applies the variables of OVERRIDES to it.

    Raises ConfigError if the variable is not set, or the file cannot be read or is invalid.
    """
    path = environ.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigError("'RELAY_CONFIG' is not set: it must name the configuration file")
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"'RELAY_CONFIG' cannot be read: {error}") from None
    data = parse_json(content, "RELAY_CONFIG's file")
    if isinstance(data, dict):
        data |= {key: environ[variable] for variable, key in OVERRIDES.items() if variable in environ}
    return parse_config(data)


def load_operator(names: Names, environ: Mapping[str, str] = os.environ) -> Operator:
    """Reads the file named by ZINCLADDER_OPERATOR; without that variable, all optional features are off.

    Raises ConfigError if the file cannot be read or is invalid.
    """
    path = environ.get(OPERATOR_VARIABLE)
    if not path:
        return Operator()
    # Imported here, so that a front without such a file starts faster and uses one megabyte less memory.
    from zincladder.config.operator import parse_operator

    return parse_operator(read_operator(path), names)


def read_operator(path: str | Path) -> dict[str, Any]:
    """Returns an operator's file as parsed TOML; raises ConfigError if it cannot be read or is not TOML."""
    try:
        return tomllib.loads(Path(path).read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"'ZINCLADDER_OPERATOR' cannot be read: {error}") from None
