"""A scenario file: the fleet, the faults in their time, and what is expected. Free of I/O.

It is TOML, checked by pydantic; a fault in it is told with file, line and what to do.
"""

from __future__ import annotations

import re
import tomllib
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

PROXY_KINDS = ("kill", "stop", "continue", "restart")
SERVER_KINDS = ("die", "back")


class Faulty(Exception):
    """The file can't be used; the text has a line for each fault."""


class Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


class Installation(Strict):
    """What runs."""

    proxies: Annotated[int, Field(ge=1, le=200)] = 12
    caches: Annotated[int, Field(ge=1, le=48)] = 8
    parents: Annotated[int, Field(ge=0, le=8)] = 2
    rate: Annotated[float, Field(gt=0, le=1_000)] = 120.0
    seconds: Annotated[float, Field(ge=2, le=300)] = 20.0
    objects: Annotated[int, Field(ge=1, le=100_000)] = 400
    hints: bool = False
    recovery: bool = False  # proxies keep state, trust unconfirmed news for two seconds, and then refuse


class Fault(Strict):
    """At so many seconds, something happens to these: links before caches or the journal, proxies, or caches."""

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
    def fits(self) -> Fault:
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
        """What kind of thing it happens to."""
        if self.do in PROXY_KINDS:
            return "proxy"
        if self.do in SERVER_KINDS or self.do == "drain":
            return "cache"
        return "group" if self.do == "purge" else "link"

    @property
    def times(self) -> list[float]:
        """When it happens, again and again."""
        found, at = [self.at], self.at
        while self.every and (at := at + self.every) <= self.until:
            found.append(at)
        return found


class Expected(Strict):
    """What has to hold for the drill to pass."""

    served: Annotated[float, Field(ge=0, le=1)] = 0.0
    worst_second: Annotated[float, Field(ge=0, le=1)] = 0.0
    back_s: Annotated[float, Field(gt=0)] = 60.0
    lost: Annotated[int, Field(ge=0)] = 0
    double: Annotated[int, Field(ge=0)] = 0
    drained_sends: Annotated[int, Field(ge=0)] = 0


class Scenario(Strict):
    """A whole file."""

    name: Annotated[str, Field(min_length=1, max_length=80)]
    about: str = ""
    seed: int = 1
    fleet: Installation = Installation()
    faults: Annotated[list[Fault], Field(max_length=200)] = []
    expect: Expected = Expected()

    @model_validator(mode="after")
    def times_fit(self) -> Scenario:
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
        """All of a kind: proxies, caches, links (a cache's, or the journal's); groups have no list."""
        caches = [f"s-{n:08x}" for n in range(1, self.fleet.caches + 1)]
        return {
            "proxy": [f"p{n}" for n in range(self.fleet.proxies)],
            "cache": caches,
            "link": [*caches, "journal"],
            "group": [],
        }[target]

    def chosen(self, fault: Fault) -> list[str]:
        """To whom it happens: those named, or the first of so large a part."""
        if isinstance(fault.to, list):
            return fault.to
        names = [name for name in self.names(fault.target) if name != "journal"]
        return names[: max(1, round(fault.to * len(names)))]

    @property
    def last_fault(self) -> float:
        return max((time for fault in self.faults for time in fault.times), default=0.0)


def line_of(text: str, place: tuple[int | str, ...]) -> int:
    """The line of the file that an error's place stands in, or of the table around it."""
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
    """A scenario from its text. Raises Faulty."""
    try:
        raw: Any = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise Faulty(f"{file}: {error}") from None
    try:
        return Scenario.model_validate(raw)
    except ValidationError as error:
        lines = []
        for fault in error.errors():
            place = ".".join(str(part) for part in fault["loc"] if part not in ("list[str]", "constrained-float"))
            said = fault["msg"].removeprefix("Value error, ")
            named = re.match(r"faults\[(\d+)\]", said)
            where = line_of(text, ("faults", int(named[1])) if named else fault["loc"])
            lines.append(f"{file}:{where}: {f'{place}: ' if place else ''}{said}")
        raise Faulty("\n".join(lines)) from None
