"""The numbers of the request classes, through settings that change while requests are open. No I/O.

A number stands for one name and one set of rules for as long as anything holds it: an open request looks
its rules up by number, so it keeps those under which it was taken, whatever becomes of its class.
"""

from __future__ import annotations

from collections.abc import Sequence, Set

from zincladder.routing import interface as api

# Seconds for which a class that was dropped is still taken, and a number not given to another: clients hear
# of new settings 1.2 s after the front.
LEAVING = 2.0


class Classes:
    """All classes that have a number. The lists are shared with those who look names and rules up."""

    def __init__(self, names: Sequence[str], rules: Sequence[api.RequestClass]) -> None:
        self.names, self.rules = list(names), list(rules)
        self.current = {name: number for number, name in enumerate(names)}
        self._leaving: dict[str, int] = {}  # dropped a moment ago
        self._resting: dict[int, float] = {}  # numbers without a class, and until when nobody else gets them

    def number(self, name: str, now: float) -> int | None:
        """The number under which a request of this class is taken; None where there is no such class."""
        found = self.current.get(name)
        if found is None and (gone := self._leaving.get(name)) is not None and now < self._resting[gone]:
            return gone
        return found

    def in_force(self, number: int) -> bool:
        """Whether a number stands for the rules that its class has now, and not for those that it had."""
        return self.current.get(self.names[number]) == number

    def take(
        self, names: Sequence[str], rules: Sequence[api.RequestClass], held: Set[int], now: float
    ) -> tuple[int, ...]:
        """Other classes from now on; `held` are the numbers of open requests.

        Gives for each number the one whose learned figures it goes on with, or -1. A class with other rules
        than before gets another number. The table is bounded by the classes at once, open requests and what
        rests.
        """
        before, self.current = self.current, {}
        self._resting = {n: until for n, until in self._resting.items() if now < until}
        self._leaving = {name: n for name, n in self._leaving.items() if n in self._resting}
        taken = held | self._resting.keys() | set(before.values())
        learned = list(range(len(self.names)))
        for name, rule in zip(names, rules, strict=True):
            was = before.get(name, -1)
            if was >= 0 and self.rules[was] == rule:
                self.current[name] = was
                continue
            number = next((n for n in range(len(self.names)) if n not in taken), len(self.names))
            if number == len(self.names):
                self.names.append(name)
                self.rules.append(rule)
                learned.append(was)
            self.names[number], self.rules[number], learned[number] = name, rule, was
            self.current[name] = number
            taken |= {number}
        for name, number in before.items():
            if self.current.get(name) != number:
                self._resting[number] = now + LEAVING
                self._leaving |= {} if name in self.current else {name: number}
        return tuple(learned)
