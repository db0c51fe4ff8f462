"""Reads values out of parsed JSON, and names the faulty key by its path where one cannot be used."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from zincladder.config.errors import ConfigError
from zincladder.config.model import Address

T = TypeVar("T")

MAX_SPAN_SECONDS = 86_400.0  # a day
MAX_SHOWN_LENGTH = 40  # characters of a faulty value
MAX_PORT = 65_535


class Node:
    """One object of the configuration and the path that leads to it.

    A method that reads a key raises ConfigError where the value is of another kind, or where the key is
    missing and there is no default. A key that is null counts as missing.
    """

    def __init__(self, data: Any, path: str) -> None:
        if not isinstance(data, dict):
            raise ConfigError(f"'{path}' must be an object, not {_shown(data)}")
        self.data, self.path = data, path

    def path_of(self, key: str) -> str:
        """The path of a key of this object, from the top."""
        return f"{self.path}.{key}" if self.path else key

    def read(self, key: str, convert: Callable[[Any], T], expected: str, default: T | None) -> T:
        """The value of a key, as `convert` gives it; `expected` says what it must be, for the error's text.

        `convert` raises ValueError, TypeError or KeyError for a value that cannot be used.
        """
        value = self.data.get(key)
        if value is None:
            if default is None:
                raise ConfigError(f"'{self.path_of(key)}' is missing: it must be {expected}")
            return default
        try:
            return convert(value)
        except (ValueError, TypeError, KeyError):
            raise ConfigError(f"'{self.path_of(key)}' must be {expected}, not {_shown(value)}") from None

    def number(self, key: str, default: float | None = None) -> float:
        """A finite number."""
        return self.read(key, number, "a number", default)

    def integer(self, key: str, default: int | None = None) -> int:
        """A number without its fraction."""
        return int(self.number(key, default))

    def flag(self, key: str) -> bool:
        """True or false; false if it is missing."""
        return self.read(key, flag, "true or false", False)

    def text(self, key: str, default: str | None = None) -> str:
        """A text."""
        return self.read(key, text, "a text", default)

    def list_of(
        self, key: str, convert: Callable[[Any], T], expected: str, default: list[T] | None = None
    ) -> tuple[T, ...]:
        """A list, each item of which `convert` reads."""

        def convert_all(value: Any) -> list[T]:
            return [convert(item) for item in as_list(value)]

        return tuple(self.read(key, convert_all, f"a list of {expected}", default))

    def numbers(self, key: str) -> tuple[float, ...]:
        """A list of finite numbers; an empty one if it is missing."""
        return self.list_of(key, number, "numbers", [])

    def choice(self, key: str, choices: Mapping[str, T], default: T | None = None) -> T:
        """What one of the words stands for."""
        return self.read(key, choices.__getitem__, " or ".join(choices), default)

    def child(self, key: str) -> Node:
        """The object under a key; an empty one if it is missing."""
        return Node(self.data.get(key) or {}, self.path_of(key))


def _shown(value: Any) -> str:
    return json.dumps(value)[:MAX_SHOWN_LENGTH]


def parse_json(data: bytes, name: str) -> Any:
    """The value of a JSON text, or ConfigError with the name of what holds it."""
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{name} is not JSON: {error}") from None


# Converters: each returns its value, or raises ValueError ------------------------------------------


def number(value: Any) -> float:
    """A finite number."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError
    try:
        result = float(value)
    except OverflowError:  # an integer of hundreds of digits
        raise ValueError from None
    if not math.isfinite(result):
        raise ValueError
    return result


def span_seconds(value: Any) -> float:
    """A number of seconds above 0, a day at most."""
    if not 0 < number(value) <= MAX_SPAN_SECONDS:
        raise ValueError
    return float(value)


def at_least_one(value: Any) -> float:
    """A number of 1 or more."""
    if number(value) < 1:
        raise ValueError
    return float(value)


def flag(value: Any) -> bool:
    """True or false."""
    if not isinstance(value, bool):
        raise ValueError
    return value


def text(value: Any) -> str:
    """A text."""
    if not isinstance(value, str):
        raise ValueError
    return value


def as_list(value: Any) -> list[Any]:
    """A list."""
    if not isinstance(value, list):
        raise ValueError
    return value


def hex_number(value: Any) -> int:
    """A number written in hex digits."""
    return int(text(value), 16)


def parse_address(value: Any) -> Address:
    """An address in the form 'HOST:PORT', with an IPv6 host in brackets."""
    host, colon, port = text(value).rpartition(":")
    if not colon or not host or not 0 <= int(port) <= MAX_PORT:
        raise ValueError
    if host.startswith("[") and host.endswith("]"):  # RFC 3986, 3.2.2: an IPv6 literal
        host = host[1:-1]
    elif ":" in host:
        raise ValueError
    return host, int(port)
