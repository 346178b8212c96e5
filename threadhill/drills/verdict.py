"""What a drill showed, from the answers by time, and whether it is what was expected. Free of I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from threadhill.drills.scenario import Scenario

FULL = 0.95  # part of the share served before the first fault that is full service
STEADY = 2  # seconds on end of it that count as being back


@dataclass(frozen=True, slots=True)
class Shown:
    """One drill's figures; shares by the second from the start of the drill."""

    served: float
    refused: float
    lost: int
    double: int
    worst_second: float
    back_s: float | None  # seconds from the last fault to full service, for good; None: not within the drill
    drained_sends: int
    by_second: tuple[float, ...]

    def told(self, scenario: Scenario) -> dict[str, object]:
        faults = failures(self, scenario)
        return {
            "drill": scenario.name,
            "passed": not faults,
            "failures": faults,
            "served": round(self.served, 4),
            "refused": round(self.refused, 4),
            "lost": self.lost,
            "double": self.double,
            "worst_second": round(self.worst_second, 4),
            "back_s": None if self.back_s is None else round(self.back_s, 2),
            "drained_sends": self.drained_sends,
        }


def shares(answers: Sequence[tuple[float, str]], seconds: int) -> tuple[float, ...]:
    """The part served of what was asked in each second; one without any request is as the one before."""
    asked, served = Counter[int](), Counter[int]()
    for at, word in answers:
        asked[int(at)] += 1
        served[int(at)] += word == "200"
    found: list[float] = []
    for second in range(seconds):
        found.append(served[second] / asked[second] if asked[second] else (found[-1] if found else 1.0))
    return tuple(found)


def back(by_second: Sequence[float], first: float, last: float) -> float | None:
    """Seconds from the last fault until full service came back and stayed; None where it did not, or stayed for under
    two seconds. What was served in whole seconds before the first fault is what it is measured by."""
    before = by_second[: int(first)] or (1.0,)
    full = FULL * sum(before) / len(before)
    for second in range(int(last), len(by_second)):
        rest = by_second[second:]
        if len(rest) >= STEADY and all(share >= full for share in rest):
            return max(0.0, second - last)
    return None


def show(answers: Sequence[tuple[float, str]], scenario: Scenario, double: int, drained_sends: int) -> Shown:
    """`answers`: when each request was asked, from the start of the drill, and its answer's word, or `lost`."""
    words = Counter(word for _, word in answers)
    total = max(1, words.total())
    by_second = shares(answers, int(scenario.fleet.seconds))
    first = min((time for fault in scenario.faults for time in fault.times), default=scenario.fleet.seconds)
    return Shown(
        words["200"] / total,
        words["503"] / total,
        words["lost"],
        double,
        min(by_second, default=1.0),
        back(by_second, first, scenario.last_fault),
        drained_sends,
        by_second,
    )


def failures(shown: Shown, scenario: Scenario) -> list[str]:
    """What was expected and is not so, a line each."""
    want, found = scenario.expect, []
    for name in ("served", "worst_second"):
        if getattr(shown, name) < getattr(want, name):
            found.append(f"{name} is {getattr(shown, name):.3f}, {getattr(want, name):g} or more was expected")
    for name in ("lost", "double", "drained_sends"):
        if getattr(shown, name) > getattr(want, name):
            found.append(f"{name} is {getattr(shown, name)}, {getattr(want, name)} at most was expected")
    if scenario.faults and (shown.back_s is None or shown.back_s > want.back_s):
        when = "not within the drill" if shown.back_s is None else f"after {shown.back_s:.1f} s"
        found.append(f"full service is back {when}, {want.back_s:g} s at most was expected")
    return found
