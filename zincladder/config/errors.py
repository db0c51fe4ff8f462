"""The error that all readers of configuration raise."""

from __future__ import annotations


class ConfigError(Exception):
    """The configuration cannot be used; the text names the faulty key as a path from the top."""
