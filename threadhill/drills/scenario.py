"""Scenario files: the fleet, the faults over time, and the expectations. Free of I/O.

They are TOML, validated by pydantic; an error message names the file, the line and what is allowed.
"""

from __future__ import annotations

import re
import tomllib
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

PROXY_KINDS = ("kill", "stop", "continue", "restart")
SERVER_KINDS = ("die", "back")


class InvalidScenario(Exception):
    """The file cannot be used; the text has one line per error."""


class StrictModel(BaseModel):
    """Rejects unknown keys and values of another type."""

    model_config = ConfigDict(extra="forbid", strict=True)


class Installation(StrictModel):
    """The processes and the load."""

    proxies: Annotated[int, Field(ge=1, le=200)] = 12
    caches: Annotated[int, Field(ge=1, le=48)] = 8
    parents: Annotated[int, Field(ge=0, le=8)] = 2
    rate: Annotated[float, Field(gt=0, le=1_000)] = 120.0
    seconds: Annotated[float, Field(ge=2, le=300)] = 20.0
    objects: Annotated[int, Field(ge=1, le=100_000)] = 400
    hints: bool = False
    recovery: bool = False  # proxies keep state, trust unconfirmed news for two seconds, and then refuse


class Fault(StrictModel):
    """A fault at a time, in seconds, of some targets: links to caches or the journal, proxies, caches, or groups."""

    at: Annotated[float, Field(ge=0, le=300)]
    do: Literal[
        "pass",
        "drop",
        "stall",
        "delay",
        "slow",
        "reset",
        "refuse",
        "accept",
        "half",
        "kill",
        "stop",
        "continue",
        "restart",
        "die",
        "back",
        "drain",
        "purge",
    ]
    to: list[str] | Annotated[float, Field(gt=0, le=1)]
    amount: Annotated[float, Field(ge=0)] = 0.0
    direction: Literal["both", "up", "down"] = "both"
    every: Annotated[float, Field(ge=0)] = 0.0  # again after so many seconds
    until: Annotated[float, Field(ge=0, le=300)] = 0.0

    @model_validator(mode="after")
    def check_fields(self) -> Fault:
        if self.do in ("delay", "slow") and not self.amount:
            raise ValueError(f'do = "{self.do}" takes an amount: seconds of delay, or bytes a second')
        if bool(self.every) != bool(self.until):
            raise ValueError("every and until go together: repeat so often, until then")
        if self.every and (self.every < 0.05 or self.until <= self.at):
            raise ValueError("every is 0.05 or more, and until comes after at")
        if self.do == "purge" and isinstance(self.to, float):
            raise ValueError('do = "purge" takes groups: to = ["0", "17"]')
        return self

    @property
    def target(self) -> str:
        """The kind of target: proxy, cache, group or link."""
        if self.do in PROXY_KINDS:
            return "proxy"
        if self.do in SERVER_KINDS or self.do == "drain":
            return "cache"
        return "group" if self.do == "purge" else "link"

    @property
    def times(self) -> list[float]:
        """All times at which it happens."""
        times, at = [self.at], self.at
        while self.every and (at := at + self.every) <= self.until:
            times.append(at)
        return times


class Expected(StrictModel):
    """The expectations that make the drill pass."""

    served: Annotated[float, Field(ge=0, le=1)] = 0.0
    worst_second: Annotated[float, Field(ge=0, le=1)] = 0.0
    back_s: Annotated[float, Field(gt=0)] = 60.0
    lost: Annotated[int, Field(ge=0)] = 0
    double: Annotated[int, Field(ge=0)] = 0
    drained_sends: Annotated[int, Field(ge=0)] = 0


class Scenario(StrictModel):
    """A complete scenario file."""

    name: Annotated[str, Field(min_length=1, max_length=80)]
    about: str = ""
    seed: int = 1
    fleet: Installation = Installation()
    faults: Annotated[list[Fault], Field(max_length=200)] = []
    expect: Expected = Expected()

    @model_validator(mode="after")
    def check_times(self) -> Scenario:
        for number, fault in enumerate(self.faults):
            if max(fault.times) >= self.fleet.seconds:
                raise ValueError(
                    f"faults[{number}] comes at {max(fault.times):g} s; the drill ends after " f"{self.fleet.seconds:g}"
                )
            known = self.names(fault.target)
            for name in fault.to if isinstance(fault.to, list) else ():
                if known and name not in known:
                    raise ValueError(f"faults[{number}].to names {name!r}; there are {', '.join(known[:4])}, ...")
        return self

    def names(self, target: str) -> list[str]:
        """The names of all targets of a kind. A link has the name of its cache, or `journal`; groups are not listed."""
        caches = [f"s-{n:08x}" for n in range(1, self.fleet.caches + 1)]
        return {
            "proxy": [f"p{n}" for n in range(self.fleet.proxies)],
            "cache": caches,
            "link": [*caches, "journal"],
            "group": [],
        }[target]

    def targets(self, fault: Fault) -> list[str]:
        """The names of a fault's targets: those listed, or the first ones of a share."""
        if isinstance(fault.to, list):
            return fault.to
        names = [name for name in self.names(fault.target) if name != "journal"]
        return names[: max(1, round(fault.to * len(names)))]

    @property
    def last_fault(self) -> float:
        return max((time for fault in self.faults for time in fault.times), default=0.0)


def line_number(text: str, place: tuple[int | str, ...]) -> int:
    """The line of the file that holds the key at this path, or else the header of its table."""
    table, index, key = "", 0, ""
    for part in place:
        if isinstance(part, int):
            index = part
        elif not table and part in ("fleet", "faults", "expect"):
            table = part
        elif not key:
            key = part
    seen, inside, found = -1, not table, 1
    for number, line in enumerate(text.splitlines(), 1):
        header = re.match(r"\s*(\[\[?)\s*([\w.]+)\s*\]\]?", line)
        if header:
            seen += header[2] == table
            inside = header[2] == table and (seen == index or header[1] == "[")
            if inside:
                found = number
        elif inside and key and re.match(rf"\s*{re.escape(str(key))}\s*=", line):
            return number
    return found


def read(text: str, file: str) -> Scenario:
    """Parse a scenario. Raises InvalidScenario."""
    try:
        raw: Any = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidScenario(f"{file}: {error}") from None
    try:
        return Scenario.model_validate(raw)
    except ValidationError as error:
        lines = []
        for fault in error.errors():
            place = ".".join(str(part) for part in fault["loc"] if part not in ("list[str]", "constrained-float"))
            said = fault["msg"].removeprefix("Value error, ")
            named = re.match(r"faults\[(\d+)\]", said)
            where = line_number(text, ("faults", int(named[1])) if named else fault["loc"])
            lines.append(f"{file}:{where}: {f'{place}: ' if place else ''}{said}")
        raise InvalidScenario("\n".join(lines)) from None
