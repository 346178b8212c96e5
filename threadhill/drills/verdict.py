"""Evaluates a drill: figures from the answers by time, and whether they meet the expectations. Free of I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from threadhill.drills.scenario import Scenario

FULL_SERVICE_SHARE = 0.95  # share of the service before the first fault that counts as full service
MIN_STEADY_SECONDS = 2  # consecutive seconds of full service that count as recovered


@dataclass(frozen=True, slots=True)
class DrillResult:
    """The figures of one drill; shares are per second from its start."""

    served: float
    refused: float
    lost: int
    double: int
    worst_second: float
    back_s: float | None  # seconds from the last fault to lasting full service; None: not within the drill
    drained_sends: int
    by_second: tuple[float, ...]

    def report(self, scenario: Scenario) -> dict[str, object]:
        """The figures and the verdict, as printed in JSON."""
        failed = failures(self, scenario)
        return {
            "drill": scenario.name,
            "passed": not failed,
            "failures": failed,
            "served": round(self.served, 4),
            "refused": round(self.refused, 4),
            "lost": self.lost,
            "double": self.double,
            "worst_second": round(self.worst_second, 4),
            "back_s": None if self.back_s is None else round(self.back_s, 2),
            "drained_sends": self.drained_sends,
        }


def served_by_second(answers: Sequence[tuple[float, str]], seconds: int) -> tuple[float, ...]:
    """The share of requests served in each second; a second without requests has the share of the one before."""
    asked, served = Counter[int](), Counter[int]()
    for at, word in answers:
        asked[int(at)] += 1
        served[int(at)] += word == "200"
    shares: list[float] = []
    for second in range(seconds):
        shares.append(served[second] / asked[second] if asked[second] else (shares[-1] if shares else 1.0))
    return tuple(shares)


def recovery_time(by_second: Sequence[float], first: float, last: float) -> float | None:
    """Seconds from the last fault until full service was back for good; None if it was not, or for less than
    MIN_STEADY_SECONDS. Full service is relative to the mean of the whole seconds before the first fault."""
    before = by_second[: int(first)] or (1.0,)
    full = FULL_SERVICE_SHARE * sum(before) / len(before)
    for second in range(int(last), len(by_second)):
        rest = by_second[second:]
        if len(rest) >= MIN_STEADY_SECONDS and all(share >= full for share in rest):
            return max(0.0, second - last)
    return None


def evaluate(answers: Sequence[tuple[float, str]], scenario: Scenario, double: int, drained_sends: int) -> DrillResult:
    """`answers` holds the send time of each request, in seconds from the start of the drill, and the status word of
    its answer, or `lost`."""
    words = Counter(word for _, word in answers)
    total = max(1, words.total())
    by_second = served_by_second(answers, int(scenario.fleet.seconds))
    first = min((time for fault in scenario.faults for time in fault.times), default=scenario.fleet.seconds)
    return DrillResult(
        words["200"] / total,
        words["503"] / total,
        words["lost"],
        double,
        min(by_second, default=1.0),
        recovery_time(by_second, first, scenario.last_fault),
        drained_sends,
        by_second,
    )


def failures(result: DrillResult, scenario: Scenario) -> list[str]:
    """One line for each expectation that is not met."""
    expected, lines = scenario.expect, []
    for name in ("served", "worst_second"):
        if getattr(result, name) < getattr(expected, name):
            lines.append(f"{name} is {getattr(result, name):.3f}, {getattr(expected, name):g} or more was expected")
    for name in ("lost", "double", "drained_sends"):
        if getattr(result, name) > getattr(expected, name):
            lines.append(f"{name} is {getattr(result, name)}, {getattr(expected, name)} at most was expected")
    if scenario.faults and (result.back_s is None or result.back_s > expected.back_s):
        when = "not within the drill" if result.back_s is None else f"after {result.back_s:.1f} s"
        lines.append(f"full service is back {when}, {expected.back_s:g} s at most was expected")
    return lines
