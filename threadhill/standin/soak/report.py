"""What a soak tells people: a line a seed, a timeline for each breach, a page of all."""

from __future__ import annotations

import html
from collections.abc import Mapping
from typing import Any

import orjson

from threadhill.standin.soak.judge import Breach
from threadhill.standin.soak.record import ClientRequest, Record

NEAR = 8.0  # seconds before a breach of which faults are told
LOG_LINES = 12  # last lines of a process's log that are told
LINE_LENGTH = 200  # characters of each of them
TRACE_MARK = "trace: "  # what a process's log has before the JSON of its last steps


def line(result: Mapping[str, Any]) -> str:
    """One seed on one line."""
    if result["problem"]:
        return f"seed {result['seed']}: not judged: {result['problem'].strip().splitlines()[-1]}"
    rules = ", ".join(sorted({breach["rule"] for breach in result["breaches"]})) or "held"
    return f"seed {result['seed']}: {result['requests']} requests, {result['served']} served: {rules}"


def timeline(record: Record, breach: Breach, logs: Mapping[str, str]) -> str:
    """All that is known of one breach, in the order of time, and how to play its seed again."""

    def at(time: float) -> str:
        return f"{time - record.began:8.3f}"

    told = [f"seed {record.seed}: {breach.rule.value}", f"{at(breach.at)}  {breach.process} {breach.rid} {breach.why}"]
    events = [(fault.at, f"fault: {fault.what}") for fault in record.faults if breach.at - NEAR < fault.at <= breach.at]
    request = record.requests.get(breach.rid)
    if request is not None:
        events += _of_request(record, request)
        events += [
            (
                purge.told.get(request.process, breach.at),
                f"told of the purge of {purge.name or f'group {purge.group}'}, stamp {purge.stamp}",
            )
            for purge in record.purges
            if purge.covers(request.thing, request.group)
        ]
        events += [
            (removal.told.get(request.process, removal.at), f"told that {removal.server} drains or is gone")
            for removal in record.removals
        ]
    life = record.processes.get(breach.process)
    if life is not None:
        events += [
            (life.started_at, "its process was started"),
            (life.asked_to_end_at, "SIGTERM"),
            (life.killed_at, "SIGKILL"),
            (life.ended_at, f"its process ended: {life.code}"),
        ]
        events += [(since, f"it stood still for {to - since:.3f} s") for since, to in life.stopped]
    told += [f"{at(when)}  {what}" for when, what in sorted(events) if when]
    log = logs.get(breach.process.partition("#")[0], "").splitlines()
    told += ["its log:", *(one[:LINE_LENGTH] for one in log[-LOG_LINES:])]
    told += ["its traces of the request:", *(_of_traces(log, breach.rid) or ["none: it was not read, or is too old"])]
    told.append(f"again: python -m benchmarks.soak --first {record.seed} --seeds 1")
    return "\n".join(told)


def _of_traces(log: list[str], rid: str) -> list[str]:
    """The steps of a request in all traces of a process's log; lines that were cut short are passed over."""
    steps = []
    for one in log:
        _, mark, raw = one.partition(TRACE_MARK)
        try:
            entries = orjson.loads(raw) if mark else []
        except ValueError:
            continue
        steps += [
            orjson.dumps(entry).decode() for entry in entries if isinstance(entry, dict) and entry.get("request") == rid
        ]
    return steps


def _of_request(record: Record, request: ClientRequest) -> list[tuple[float, str]]:
    events = [
        (
            request.sent_at,
            f"client asks {request.cls} {request.thing}/{request.part}, group {request.group}, "
            f"budget {request.budget:.3f} s, seen {request.seen or '-'}",
        ),
        (request.left_at, "client leaves"),
        (request.closed_at, "the connection is ended under it"),
    ]
    events += [
        (answer.at, f"answer {answer.word}{' same' if answer.same else ''} {answer.body[:40]!r}")
        for answer in request.answers
    ]
    for one in record.attempts:
        if one.rid == request.rid:
            events.append(
                (
                    one.at,
                    f"attempt at {one.server} from {one.source or '-'}, max {one.allowed:.3f} s, oldest "
                    f"{one.oldest}, mode {one.mode or '-'}: {one.word or 'no answer'}, born {one.born}, "
                    f"ran {one.ran}, given up {one.given_up_at > 0}",
                )
            )
    return events


def page(results: list[Mapping[str, Any]]) -> str:
    """A page of the breaches, by rule."""
    by_rule: dict[str, list[str]] = {}
    for result in results:
        for breach in result["breaches"]:
            by_rule.setdefault(breach["rule"], []).append(f"seed {result['seed']}: {breach['process']} {breach['why']}")
    parts = ["<!doctype html><title>Soak</title><h1>Soak</h1>", f"<p>{len(results)} seeds</p>"]
    for rule, cases in sorted(by_rule.items()):
        parts.append(f"<h2>{html.escape(rule)} ({len(cases)})</h2><ul>")
        parts += [f"<li>{html.escape(case)}</li>" for case in cases]
        parts.append("</ul>")
    parts += [f"<pre>{html.escape(text)}</pre>" for result in results for text in result["timelines"]]
    return "\n".join(parts)
