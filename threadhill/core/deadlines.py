"""All deadlines in one sorted structure, swept each turn; one timer stands for its head."""

from __future__ import annotations

from collections.abc import Callable

from sortedcontainers import SortedDict

Callback = Callable[[], None]


class Deadlines:
    """What is to happen when; `arm` is called with the time of a new head, None when nothing is left. An exception
    goes to `fault`: one thing that fails must not keep the others from being done, nor the timer from being armed."""

    def __init__(self, arm: Callable[[int | None], None], fault: Callable[[Exception], None]) -> None:
        self._arm, self._fault = arm, fault
        self._entries: SortedDict = SortedDict()  # (when, number) -> what to do
        self._keys = self._entries.keys()
        self._number = 0
        self._armed: int | None = None
        self._running = False

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, when: int, due: Callback) -> tuple[int, int]:
        """Remember what is due then; the key returned takes it back."""
        self._number += 1
        key = (when, self._number)
        self._entries[key] = due
        if self._armed is None or when < self._armed:
            self._set(when)
        return key

    def cancel(self, key: tuple[int, int] | None) -> None:
        """Take one back; one that is done already is no matter. The timer may then wake for nothing."""
        if key is not None:
            self._entries.pop(key, None)

    def timer_fired(self) -> None:
        """The timer has gone off: whatever the head is now, it must be armed anew."""
        self._armed = None

    def run_due(self, now: int) -> None:
        """Do all that is due, in order; what that adds for now or earlier is done in the same sweep."""
        if self._running or not self._entries or self._keys[0][0] > now and self._armed is not None:
            return  # nothing is due, and the timer stands
        self._running = True
        try:
            self._run_due(now)
        finally:
            self._running = False
        head = self._keys[0][0] if self._entries else None
        if head != self._armed:
            self._set(head)

    def _run_due(self, now: int) -> None:
        while self._entries:
            key = self._keys[0]
            if key[0] > now:
                break
            due = self._entries.pop(key)
            try:
                due()
            except Exception as error:
                self._fault(error)

    def _set(self, when: int | None) -> None:
        self._armed = when
        self._arm(when)
