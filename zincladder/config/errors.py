"""The exception that all readers of configuration raise."""

from __future__ import annotations


class ConfigError(Exception):
    """The configuration is invalid; the text names the faulty key by its path from the top of the file."""
