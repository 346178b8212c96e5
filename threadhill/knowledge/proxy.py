"""Connects a proxy's journal client to the shared load figures: the reports it sends and the hints it receives."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from threadhill.core.engine import Engine
from threadhill.knowledge.hints import HintReader, hint_time
from threadhill.knowledge.report import ReportBuilder
from threadhill.settings import Malformed


class Knowledge:
    """The shared load figures of one proxy. A hint that can't be read is dropped; the feed goes on."""

    def __init__(self, engine: Engine, log: Callable[[str], None]) -> None:
        self.engine, self.log = engine, log
        self.reporter, self.hints = ReportBuilder(engine.router), HintReader()

    def connected(self) -> None:
        self.hints.reset()

    def report(self) -> dict[str, Any]:
        return self.reporter.build(self.engine.clock.now())

    def receive_hint(self, raw: Any) -> None:
        try:
            hints = self.hints.read(raw, self.engine.clock.wall_clock_age(hint_time(raw)))
        except Malformed as error:
            self.engine.stats.count("malformed", "hint")
            self.log(f"journal: {error}")
            return
        self.engine.stats.count("hint", "left" if hints is None else "taken")
        if hints is not None:
            self.engine.hints_received(hints)
