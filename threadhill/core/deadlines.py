"""All deadlines in one sorted map, run at each turn of the loop. One timer is armed for the earliest."""

from __future__ import annotations

from collections.abc import Callable

from sortedcontainers import SortedDict

Callback = Callable[[], None]


class Deadlines:
    """Callbacks by due time. `arm` is called with the earliest due time when it changes, or None when nothing is left.
    Exceptions of callbacks go to `fault`, so that the other callbacks still run and the timer is armed."""

    def __init__(self, arm: Callable[[int | None], None], fault: Callable[[Exception], None]) -> None:
        self._arm, self._fault = arm, fault
        self._entries: SortedDict = SortedDict()  # (when, number) -> callback
        self._keys = self._entries.keys()
        self._last_number = 0
        self._armed: int | None = None
        self._running = False

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, when: int, callback: Callback) -> tuple[int, int]:
        """Schedule a callback; the key returned cancels it."""
        self._last_number += 1
        key = (when, self._last_number)
        self._entries[key] = callback
        if self._armed is None or when < self._armed:
            self._arm_for(when)
        return key

    def cancel(self, key: tuple[int, int] | None) -> None:
        """Cancel a callback; no effect if it has run. The timer may then fire with nothing due."""
        if key is not None:
            self._entries.pop(key, None)

    def timer_fired(self) -> None:
        """The timer has fired and must be armed again for whatever is earliest."""
        self._armed = None

    def run_due(self, now: int) -> None:
        """Run all callbacks that are due, in order, including those that they add for `now` or earlier."""
        if self._running or not self._entries or self._keys[0][0] > now and self._armed is not None:
            return  # nothing is due and the timer is armed
        self._running = True
        try:
            self._run_due(now)
        finally:
            self._running = False
        earliest = self._keys[0][0] if self._entries else None
        if earliest != self._armed:
            self._arm_for(earliest)

    def _run_due(self, now: int) -> None:
        while self._entries:
            key = self._keys[0]
            if key[0] > now:
                break
            callback = self._entries.pop(key)
            try:
                callback()
            except Exception as error:
                self._fault(error)

    def _arm_for(self, when: int | None) -> None:
        self._armed = when
        self._arm(when)
