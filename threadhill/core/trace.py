"""The last seconds of a proxy in memory: purges, attempts, answers and lost connections, to be told when they matter.

Entries are tuples in a ring, which costs next to nothing while nobody asks. They are written to the log when an answer
is turned down (those of its request and its object), at SIGUSR1 and at the end of the process (the newest of all).
"""

from __future__ import annotations

from collections import deque
from enum import StrEnum

import orjson

MAX_ENTRIES = 2_048  # entries
MAX_REPORTED = 100  # entries of a report
RECENT_WINDOW = 5_000_000  # microseconds that a report goes back


class Step(StrEnum):
    """What an entry tells; behind it stand the fields that `FIELDS` names."""

    PURGE = "purge"
    ATTEMPT = "attempt"
    ENDED = "ended"
    ANSWER = "answer"
    CONNECTION_LOST = "connection lost"


FIELDS = {
    Step.PURGE: ("key", "stamp_ms", "age_us", "event", "from"),
    Step.ATTEMPT: ("request", "object", "server", "source", "oldest_us", "mode"),
    Step.ENDED: ("request", "server", "outcome", "born_ms", "took_us"),
    Step.ANSWER: ("request", "answer"),
    Step.CONNECTION_LOST: ("server", "attempts"),
}
Entry = tuple[int, Step, tuple[object, ...]]


class Trace:
    """The ring. Times are local microseconds."""

    def __init__(self) -> None:
        self._entries: deque[Entry] = deque(maxlen=MAX_ENTRIES)

    def add(self, at: int, step: Step, *fields: object) -> None:
        """Note one step with its fields, in the order of `FIELDS`."""
        self._entries.append((at, step, fields))

    def matching(self, *keys: object) -> str:
        """The entries of a request, an object or a group, as one line of JSON."""
        wanted = set(keys)
        return self._told([entry for entry in self._entries if not wanted.isdisjoint(entry[2][:2])])

    def recent(self, now: int) -> str:
        """The newest entries, as one line of JSON."""
        return self._told([entry for entry in self._entries if now - entry[0] <= RECENT_WINDOW])

    @staticmethod
    def _told(entries: list[Entry]) -> str:
        told = [
            {"at_us": at, "step": step.value} | dict(zip(FIELDS[step], fields, strict=True))
            for at, step, fields in entries[-MAX_REPORTED:]
        ]
        return orjson.dumps(told).decode()
