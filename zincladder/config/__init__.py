"""Reads and validates all configuration and applies the defaults; no other package does so.

A front's configuration file (`RELAY_CONFIG`) and the simulator's start message hold the same settings. An
invalid configuration raises ConfigError, whose text names the faulty key by its path from the top.
"""

from zincladder.config.changes import merge_reloaded
from zincladder.config.environment import load, load_operator, read_operator
from zincladder.config.errors import ConfigError
from zincladder.config.limits import divide_limits
from zincladder.config.model import (
    MAX_BODY_BYTES,
    Address,
    Config,
    DnsConfig,
    DnsHost,
    Names,
    Operator,
    PolicyConfig,
    RemoteWriteConfig,
    TasksConfig,
)
from zincladder.config.node import Node, parse_address
from zincladder.config.platform import parse_config
from zincladder.config.settings import LOAD_REPORT_NAMES, parse_settings

__all__ = [
    "LOAD_REPORT_NAMES",
    "MAX_BODY_BYTES",
    "Address",
    "Config",
    "ConfigError",
    "DnsConfig",
    "DnsHost",
    "Names",
    "Node",
    "Operator",
    "PolicyConfig",
    "RemoteWriteConfig",
    "TasksConfig",
    "divide_limits",
    "load",
    "load_operator",
    "merge_reloaded",
    "parse_address",
    "parse_config",
    "parse_settings",
    "read_operator",
]
