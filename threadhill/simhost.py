"""The simulator's protocol on standard input and output: one independent Router per instance.

This module only translates messages; all decisions are made in threadhill.decision.choice.
"""

from __future__ import annotations

import base64
import json
import sys
import traceback
from collections.abc import Callable
from typing import Any, TextIO

from threadhill.decision import interface as api
from threadhill.decision.choice import Router
from threadhill.settings import (
    Malformed,
    integer,
    mapping,
    number,
    one_of,
    read_settings,
    required_integer,
    sequence,
    text,
)

OUTCOMES = {
    "delivered": api.Outcome.SERVED,
    "app_error": api.Outcome.ERROR,
    "shed": api.Outcome.REFUSED,
    "expired": api.Outcome.TIMED_OUT,
    "dial_failed": api.Outcome.UNREACHED,
    "dropped": api.Outcome.BROKEN,
    "revoked": api.Outcome.CANCELLED,
    "unused": api.Outcome.UNSENT,
    "empty": api.Outcome.MISS,
}
STATES = {"IN": api.State.READY, "LAME": api.State.DRAINING, "OUT": api.State.GONE}
LIST_KINDS = {
    "Partial": api.ListKind.CHANGES,
    "Complete": api.ListKind.FULL,
    "Persisted": api.ListKind.STALE,
    "Error": api.ListKind.FAILED,
}
REPORT_FIELDS = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "errors",
    "x0": "hits",
    "x1": "link",
}
NOTES = {note.value: note for note in api.CacheStatus}
REPEAT_BIT = 2
WRITE_BIT = 4


def read_load(value: Any) -> dict[str, float]:
    """A load report with its fields renamed to those of the decision module; unknown fields are skipped."""
    return {
        REPORT_FIELDS[key]: float(item)
        for key, item in mapping(value, "the load report").items()
        if key in REPORT_FIELDS and isinstance(item, int | float) and not isinstance(item, bool)
    }


def read_entry(raw: Any) -> api.Entry:
    """One entry of a server list."""
    values = sequence(raw, "a list line")
    if len(values) < 7:
        raise Malformed(f"a list line has {len(values)} values, not 7")
    since, cell, units, status, kind, zone, server = values[:7]
    return api.Entry(
        server=required_integer(server, "server"),
        state=one_of(STATES, status, "status"),
        zone=zone if isinstance(zone, str) else "",
        kind=kind if isinstance(kind, str) else "",
        cell=integer(cell, "cell"),
        weight=number(units, "units"),
        reported_start=integer(since, "since"),
    )


def read_members(v: list[Any]) -> api.ListNews:
    entries = tuple(read_entry(line) for line in sequence(v[2], "lines"))
    return api.ListNews(one_of(LIST_KINDS, v[0], "how"), entries, integer(v[1], "generation"))


def read_request(v: list[Any]) -> api.Request:
    flags = integer(v[8], "attrs")
    return api.Request(
        id=text(v[0], "msg-id"),
        cls=text(v[1], "grade"),
        tenant=v[2] if isinstance(v[2], str) else None,
        object="" if v[3] is None else text(v[3], "item"),
        time_left=integer(v[4], "remaining"),
        size=number(v[5], "bytes-k"),
        group=None if v[6] is None else int(number(v[6], "batch-id")),
        part=int(number(v[7], "slice")),
        repeat=bool(flags & REPEAT_BIT),
        write=bool(flags & WRITE_BIT),
    )


def read_started(v: list[Any]) -> api.AnswerStarted:
    return api.AnswerStarted(
        text(v[0], "msg-id"), integer(v[1], "round-no"), required_integer(v[3], "server"), integer(v[2], "took")
    )


def read_ended(v: list[Any]) -> api.AttemptEnded:
    return api.AttemptEnded(
        id=text(v[0], "msg-id"),
        attempt=integer(v[1], "round-no"),
        server=required_integer(v[2], "server"),
        outcome=one_of(OUTCOMES, v[3], "status"),
        duration=integer(v[4], "took"),
        request_closed=bool(v[5]),
        cache_status=NOTES.get(integer(v[6], "info"), api.CacheStatus.NONE),
        source_wait=integer(v[7], "waited"),
        load=read_load(v[8]),
    )


def read_probe(v: list[Any]) -> api.ProbeEnded:
    return api.ProbeEnded(
        required_integer(v[0], "server"), one_of(OUTCOMES, v[1], "status"), integer(v[2], "took"), read_load(v[3])
    )


def read_peer(v: list[Any]) -> api.PeerSays:
    try:
        data = base64.b64decode(text(v[1], "contents"), validate=True)
    except ValueError as error:
        raise Malformed(f"contents is not base64: {error}") from None
    return api.PeerSays(integer(v[0], "neighbour"), data)


def read_purge(v: list[Any]) -> api.Purge:
    group = None if v[1] is None else int(number(v[1], "bucket"))
    return api.Purge(None if v[0] is None else text(v[0], "item"), group, integer(v[2], "age"))


READERS: dict[str, tuple[int, Callable[[list[Any]], api.Event]]] = {
    "sync": (3, read_members),
    "ask": (9, read_request),
    "flowing": (4, read_started),
    "verdict": (9, read_ended),
    "client-gone": (1, lambda v: api.ClientGone(text(v[0], "msg-id"))),
    "bell": (1, lambda v: api.TimerDue(text(v[0], "token"))),
    "check-result": (4, read_probe),
    "from-peer": (2, read_peer),
    "replaced": (3, read_purge),
}

WRITERS: dict[type, tuple[str, Callable[[Any], list[Any]]]] = {
    api.Look: ("pass-on", lambda a: [a.id, a.server, a.timeout]),
    api.Fetch: ("get", lambda a: [a.id, a.timeout, a.max_age, a.source, int(a.mode), a.keep_rank, a.server]),
    api.Refuse: ("push-back", lambda a: [a.id, a.retry_after]),
    api.Fail: ("give-up", lambda a: [a.id]),
    api.CancelAttempt: ("abort-attempt", lambda a: [a.id, a.attempt]),
    api.SetTimer: ("schedule", lambda a: [a.delay, a.token]),
    api.Probe: ("sample", lambda a: [a.server]),
    api.CloseIdle: ("close", lambda a: [a.server]),
    api.TellPeer: (
        "share",
        lambda a: ["*" if a.peer is None else a.peer, base64.b64encode(a.data).decode("ascii")],
    ),
    api.Log: ("trace", lambda a: [a.text]),
    api.FollowList: ("follow", lambda a: [a.subscribe]),
    api.AskList: ("query-all", lambda a: []),
}


class Host:
    """Reads batches of messages, passes each event to its instance and writes the replies."""

    def __init__(self, out: TextIO) -> None:
        self.out = out
        self.routers: dict[int, Router] = {}
        self.batch: int | None = None
        self.now = 0
        self.reply: list[str] = []

    def write_actions(self, router: int, actions: list[api.Action]) -> None:
        for action in actions:
            name, values = WRITERS[type(action)]
            self.reply.append(json.dumps([name, router, *values(action)], separators=(",", ":")))

    def read_line(self, line: str) -> None:
        """Process one line of input; raises Malformed if it is not a valid message."""
        try:
            message = json.loads(line)
        except (ValueError, RecursionError) as error:
            raise Malformed(f"not JSON: {error}") from None
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise Malformed("not an array that starts with a name")
        name, values = message[0], message[1:]
        if name == "begin-batch":
            if self.batch is not None:
                raise Malformed("begin-batch inside a batch")
            values += [None] * (2 - len(values))
            self.now = required_integer(values[0], "the clock")
            self.batch = required_integer(values[1], "the batch number")
        elif self.batch is None:
            raise Malformed(f"{name} outside a batch")
        elif name == "go":
            self.reply.append(json.dumps(["done", self.batch], separators=(",", ":")))
            self.out.write("\n".join(self.reply) + "\n")
            self.out.flush()
            self.reply, self.batch = [], None
        else:
            self.handle_event(name, values)

    def handle_event(self, name: str, values: list[Any]) -> None:
        """Process one event of a batch, for one instance."""
        router = required_integer(values[0] if values else None, f"{name}: router")
        if name == "killed":
            self.routers.pop(router, None)
            return
        event: api.Event | None = None
        try:
            if name == "open-instance":
                values += [None] * (3 - len(values))
                seed, settings = integer(values[1], "entropy"), read_settings(values[2])
            elif name in READERS:
                count, read = READERS[name]
                event = read(values[1:] + [None] * (count + 1 - len(values)))
                if router not in self.routers:
                    raise Malformed(f"instance {router} is not open")
            else:
                raise Malformed("no such event")
        except Malformed as error:
            raise Malformed(f"{name}: {error}") from None
        try:
            if event is None:
                self.routers[router] = Router(settings, seed)
                self.write_actions(router, self.routers[router].start(self.now))
            else:
                self.write_actions(router, self.routers[router].handle(self.now, event))
        except Exception as error:  # any exception of the decision code is reported with a crash message
            traceback.print_exc()
            message = f"{type(error).__name__}: {error}"
            self.reply.append(json.dumps(["crash", router, message], separators=(",", ":")))


def main() -> int:
    """Process standard input until it ends."""
    host = Host(sys.stdout)
    for line_number, raw in enumerate(sys.stdin.buffer, 1):
        try:
            line = raw.decode("utf-8")
            if line.strip():
                host.read_line(line)
        except (Malformed, UnicodeDecodeError) as error:
            print(f"threadhill.simhost: line {line_number}: {error}", file=sys.stderr)
            return 2
    if host.batch is not None:
        print("threadhill.simhost: input ended inside a batch", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
