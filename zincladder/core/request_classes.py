"""Numbers the request classes so that settings can change while requests are open. No I/O.

A number keeps its name and its rules for as long as anything refers to it. An open request looks its rules up
by number, so it keeps the rules under which it was read, even if its class is changed or removed.
"""

from __future__ import annotations

from collections.abc import Sequence, Set

from zincladder.routing import interface as api

# A removed class is still accepted for this time, and its number is not reused: clients receive new settings
# 1.2 s after the front.
REMOVED_CLASS_SECONDS = 2.0
NEW_CLASS = -1  # instead of a number: the class has no learned statistics to continue with


class RequestClasses:
    """All classes that have a number. `names` and `rules` are changed in place: other parts refer to them."""

    def __init__(self, names: Sequence[str], rules: Sequence[api.RequestClass]) -> None:
        self.names, self.rules = list(names), list(rules)
        self.current = {name: number for number, name in enumerate(names)}
        self._removed: dict[str, int] = {}  # numbers of classes that were removed recently, by name
        self._reserved_until: dict[int, float] = {}  # by number: it is not reused before this time

    def number_of(self, name: str, now: float) -> int | None:
        """Returns the number for a new request of this class, or None if there is no such class."""
        number = self.current.get(name)
        if number is not None:
            return number
        removed = self._removed.get(name)
        if removed is not None and now < self._reserved_until[removed]:
            return removed
        return None

    def has_current_rules(self, number: int) -> bool:
        """Returns whether a number stands for the current rules of its class, and not for replaced ones."""
        return self.current.get(self.names[number]) == number

    def replace(
        self, names: Sequence[str], rules: Sequence[api.RequestClass], open_numbers: Set[int], now: float
    ) -> tuple[int, ...]:
        """Replaces the classes; `open_numbers` are the class numbers of open requests.

        Returns, by class number, the number whose learned statistics the class takes over, or `NEW_CLASS`. A
        class whose rules changed gets another number. Numbers are reused, so the current classes, the open
        requests and the reserved numbers bound the size of the table.
        """
        previous_numbers, self.current = self.current, {}
        self._drop_expired_reservations(now)
        used = open_numbers | self._reserved_until.keys() | set(previous_numbers.values())
        learned_from = list(range(len(self.names)))
        for name, rule in zip(names, rules, strict=True):
            previous = previous_numbers.get(name, NEW_CLASS)
            if previous != NEW_CLASS and self.rules[previous] == rule:
                self.current[name] = previous
                continue
            number = next((n for n in range(len(self.names)) if n not in used), len(self.names))
            if number == len(self.names):
                self.names.append(name)
                self.rules.append(rule)
                learned_from.append(previous)
            self.names[number], self.rules[number], learned_from[number] = name, rule, previous
            self.current[name] = number
            used |= {number}
        self._reserve_replaced(previous_numbers, now)
        return tuple(learned_from)

    def _drop_expired_reservations(self, now: float) -> None:
        reserved = {number: until for number, until in self._reserved_until.items() if now < until}
        self._reserved_until = reserved
        self._removed = {name: number for name, number in self._removed.items() if number in reserved}

    def _reserve_replaced(self, previous_numbers: dict[str, int], now: float) -> None:
        for name, number in previous_numbers.items():
            if self.current.get(name) == number:
                continue
            self._reserved_until[number] = now + REMOVED_CLASS_SECONDS
            if name not in self.current:
                self._removed[name] = number
