"""Reads typed values from parsed JSON; an error names the faulty key by its path from the top."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from zincladder.config.errors import ConfigError
from zincladder.config.model import Address

T = TypeVar("T")

MAX_DURATION_SECONDS = 86_400.0  # one day
MAX_SHOWN_LENGTH = 40  # characters of a faulty value in an error text
MAX_PORT = 65_535


class Node:
    """One JSON object of the configuration, with its path from the top.

    The methods that read a key raise ConfigError if the value has the wrong type, or if the key is missing
    and has no default. A key whose value is null counts as missing.
    """

    def __init__(self, data: Any, path: str) -> None:
        if not isinstance(data, dict):
            raise ConfigError(f"'{path}' must be an object, not {_shortened(data)}")
        self.data, self.path = data, path

    def path_of(self, key: str) -> str:
        """Returns the path of a key of this object from the top."""
        return f"{self.path}.{key}" if self.path else key

    def read(self, key: str, convert: Callable[[Any], T], expected: str, default: T | None) -> T:
        """Returns the value of a key, converted by `convert`.

        `convert` raises ValueError, TypeError or KeyError for an invalid value. `expected` says what the
        value must be, for the text of the ConfigError.
        """
        value = self.data.get(key)
        if value is None:
            if default is None:
                raise ConfigError(f"'{self.path_of(key)}' is missing: it must be {expected}")
            return default
        try:
            return convert(value)
        except (ValueError, TypeError, KeyError):
            raise ConfigError(f"'{self.path_of(key)}' must be {expected}, not {_shortened(value)}") from None

    def number(self, key: str, default: float | None = None) -> float:
        """Returns a finite number."""
        return self.read(key, number, "a number", default)

    def integer(self, key: str, default: int | None = None) -> int:
        """Returns a number, truncated to an integer."""
        return int(self.number(key, default))

    def flag(self, key: str) -> bool:
        """Returns a boolean; False if the key is missing."""
        return self.read(key, flag, "true or false", False)

    def text(self, key: str, default: str | None = None) -> str:
        """Returns a string."""
        return self.read(key, text, "a text", default)

    def list_of(
        self, key: str, convert: Callable[[Any], T], expected: str, default: list[T] | None = None
    ) -> tuple[T, ...]:
        """Returns a list whose items are converted by `convert`; `expected` names the items in an error."""

        def convert_all(value: Any) -> list[T]:
            return [convert(item) for item in as_list(value)]

        return tuple(self.read(key, convert_all, f"a list of {expected}", default))

    def numbers(self, key: str) -> tuple[float, ...]:
        """Returns a list of finite numbers; an empty one if the key is missing."""
        return self.list_of(key, number, "numbers", [])

    def choice(self, key: str, choices: Mapping[str, T], default: T | None = None) -> T:
        """Returns the value to which `choices` maps the word that the key holds."""
        return self.read(key, choices.__getitem__, " or ".join(choices), default)

    def child(self, key: str) -> Node:
        """Returns the object under a key; an empty one if the key is missing."""
        return Node(self.data.get(key) or {}, self.path_of(key))


def _shortened(value: Any) -> str:
    return json.dumps(value)[:MAX_SHOWN_LENGTH]


def parse_json(data: bytes, name: str) -> Any:
    """Returns the value of a JSON text; if it is not JSON, raises a ConfigError that begins with `name`."""
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{name} is not JSON: {error}") from None


# Converters: each returns the converted value, or raises ValueError -------------------------------


def number(value: Any) -> float:
    """Returns a finite number."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError
    try:
        result = float(value)
    except OverflowError:  # an integer with hundreds of digits
        raise ValueError from None
    if not math.isfinite(result):
        raise ValueError
    return result


def duration_seconds(value: Any) -> float:
    """Returns a number of seconds above 0 and of at most one day."""
    if not 0 < number(value) <= MAX_DURATION_SECONDS:
        raise ValueError
    return float(value)


def at_least_one(value: Any) -> float:
    """Returns a number of at least 1."""
    if number(value) < 1:
        raise ValueError
    return float(value)


def flag(value: Any) -> bool:
    """Returns a boolean."""
    if not isinstance(value, bool):
        raise ValueError
    return value


def text(value: Any) -> str:
    """Returns a string."""
    if not isinstance(value, str):
        raise ValueError
    return value


def as_list(value: Any) -> list[Any]:
    """Returns a list."""
    if not isinstance(value, list):
        raise ValueError
    return value


def hex_number(value: Any) -> int:
    """Returns the integer that a string of hexadecimal digits holds."""
    return int(text(value), 16)


def parse_address(value: Any) -> Address:
    """Returns the host and port of a text 'HOST:PORT', in which an IPv6 host stands in brackets."""
    host, colon, port = text(value).rpartition(":")
    if not colon or not host or not 0 <= int(port) <= MAX_PORT:
        raise ValueError
    if host.startswith("[") and host.endswith("]"):  # an IPv6 literal, RFC 3986, section 3.2.2
        host = host[1:-1]
    elif ":" in host:
        raise ValueError
    return host, int(port)
