"""An in-memory trace of a proxy's latest purges, attempts, answers and lost connections.

Entries are tuples in a ring buffer, which costs little while they are not read. They are written to the log when an
answer from a purged copy is rejected (entries of its request, object and group), at SIGUSR1 and when the process ends
(the newest entries).
"""

from __future__ import annotations

from collections import deque
from enum import StrEnum

import orjson

MAX_ENTRIES = 2_048
MAX_REPORTED = 100  # entries in one report
RECENT_WINDOW = 5_000_000  # microseconds covered by a report of recent entries


class Step(StrEnum):
    """The kind of an entry. `FIELDS` names the fields of each kind."""

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
    """The ring buffer. Times are local microseconds."""

    def __init__(self) -> None:
        self._entries: deque[Entry] = deque(maxlen=MAX_ENTRIES)

    def add(self, at: int, step: Step, *fields: object) -> None:
        """Record one step with its fields in the order of `FIELDS`."""
        self._entries.append((at, step, fields))

    def matching(self, *keys: object) -> str:
        """The entries whose first two fields contain one of the keys (request, object, group), as one line of JSON."""
        wanted = set(keys)
        return self._as_json([entry for entry in self._entries if not wanted.isdisjoint(entry[2][:2])])

    def recent(self, now: int) -> str:
        """The entries of the last seconds, as one line of JSON."""
        return self._as_json([entry for entry in self._entries if now - entry[0] <= RECENT_WINDOW])

    @staticmethod
    def _as_json(entries: list[Entry]) -> str:
        rows = [
            {"at_us": at, "step": step.value} | dict(zip(FIELDS[step], fields, strict=True))
            for at, step, fields in entries[-MAX_REPORTED:]
        ]
        return orjson.dumps(rows).decode()
