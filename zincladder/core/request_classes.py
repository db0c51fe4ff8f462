"""The numbers of the request classes, through settings that change while requests are open. No I/O.

A number has one name and one set of rules for as long as anything refers to it: an open request looks its
rules up by number, so it keeps those under which it was read, whatever becomes of its class.
"""

from __future__ import annotations

from collections.abc import Sequence, Set

from zincladder.routing import interface as api

# A removed class is still accepted for so long, and its number not reused: clients learn of new settings
# 1.2 s after the front.
REMOVED_CLASS_SECONDS = 2.0
NEW_CLASS = -1  # in place of the number whose learned statistics a class goes on with


class RequestClasses:
    """All classes that have a number. The lists are shared with those who look names and rules up."""

    def __init__(self, names: Sequence[str], rules: Sequence[api.RequestClass]) -> None:
        self.names, self.rules = list(names), list(rules)
        self.current = {name: number for number, name in enumerate(names)}
        self._removed: dict[str, int] = {}  # a moment ago
        self._reserved_until: dict[int, float] = {}  # by number: nobody else gets it before

    def number_of(self, name: str, now: float) -> int | None:
        """The number under which a request of this class is read; None where there is no such class."""
        number = self.current.get(name)
        if number is not None:
            return number
        removed = self._removed.get(name)
        if removed is not None and now < self._reserved_until[removed]:
            return removed
        return None

    def in_force(self, number: int) -> bool:
        """Whether a number has the current rules of its class, not replaced ones."""
        return self.current.get(self.names[number]) == number

    def replace(
        self, names: Sequence[str], rules: Sequence[api.RequestClass], open_numbers: Set[int], now: float
    ) -> tuple[int, ...]:
        """Replaces the classes; `open_numbers` are those of open requests.

        Returns for each number the one whose learned statistics it goes on with, or `NEW_CLASS`. A class with
        changed rules gets another number. The table is bounded by the current classes, the open requests and
        the numbers in reserve.
        """
        before, self.current = self.current, {}
        self._drop_expired_reserves(now)
        taken = open_numbers | self._reserved_until.keys() | set(before.values())
        learned_from = list(range(len(self.names)))
        for name, rule in zip(names, rules, strict=True):
            previous = before.get(name, NEW_CLASS)
            if previous != NEW_CLASS and self.rules[previous] == rule:
                self.current[name] = previous
                continue
            number = next((n for n in range(len(self.names)) if n not in taken), len(self.names))
            if number == len(self.names):
                self.names.append(name)
                self.rules.append(rule)
                learned_from.append(previous)
            self.names[number], self.rules[number], learned_from[number] = name, rule, previous
            self.current[name] = number
            taken |= {number}
        self._reserve_replaced(before, now)
        return tuple(learned_from)

    def _drop_expired_reserves(self, now: float) -> None:
        reserved = {number: until for number, until in self._reserved_until.items() if now < until}
        self._reserved_until = reserved
        self._removed = {name: number for name, number in self._removed.items() if number in reserved}

    def _reserve_replaced(self, before: dict[str, int], now: float) -> None:
        for name, number in before.items():
            if self.current.get(name) == number:
                continue
            self._reserved_until[number] = now + REMOVED_CLASS_SECONDS
            if name not in self.current:
                self._removed[name] = number
