"""A plan as a document: it names the state on which it was made and has a digest that detects any change."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from threadhill.plans.planner import Plan, Step, digest
from threadhill.plans.resource import Resource

FORMAT_VERSION = 1
ACTION_MARKS = {"add": "+", "return": "+", "remove": "-", "unset": "-", "drain": "-", "update": "~"}
MAX_SHOWN = 200  # limit of the steps in the text form; the document has all of them


class BadPlan(Exception):
    """The document is not a plan, or was changed after it was saved."""


def document(
    plan: Plan, wanted: Mapping[str, Resource], base: int, serial: int, forecast: Any = None, why: str = ""
) -> dict[str, Any]:
    """The plan as JSON. `base` is the state version on which it was made; `serial` counts all changes of the state."""
    body = {
        "threadhill_plan": FORMAT_VERSION,
        "base": base,
        "serial": serial,
        "why": why,
        "steps": [step.document() for step in plan.steps],
        "blocked": dict(plan.blocked),
        "drift": [{"id": d.id, "recorded": d.recorded, "observed": d.observed} for d in plan.drift],
        "pending": list(plan.pending),
        "forecast": forecast or {},
        "wanted": {id: r.attrs for id, r in sorted(wanted.items())},
    }
    return {**body, "digest": digest(body)}


def check(raw: Any) -> dict[str, Any]:
    """Returns the document if it is an unchanged plan; raises BadPlan otherwise."""
    if not isinstance(raw, dict) or raw.get("threadhill_plan") != FORMAT_VERSION:
        raise BadPlan("is not a saved plan of this version of the program; make it again with plan --out")
    body = {key: value for key, value in raw.items() if key != "digest"}
    if digest(body) != raw.get("digest"):
        raise BadPlan("was changed since it was saved: its digest does not match; make it again with plan --out")
    return raw


def steps_of(raw: Mapping[str, Any]) -> list[Step]:
    return [
        Step(s["id"], s["action"], s["kind"], s["name"], s["before"], s["after"], tuple(s["needs"]), s["wave"])
        for s in raw["steps"]
    ]


def resources_of(wanted: Mapping[str, dict[str, Any]]) -> dict[str, Resource]:
    """The resources of a document's map of attributes by id."""
    return {id: Resource(*id.split(".", 1), attrs) for id, attrs in wanted.items()}


def render(raw: Mapping[str, Any], done: Mapping[str, str] | None = None) -> str:
    """The plan as text. `done` has the states of the steps, by id, if the plan is being applied."""
    lines = []
    if raw["drift"]:
        lines.append("Not as recorded (no configuration file asks for this, and this plan does not change it):")
        lines += [f"  ! {d['id']}: recorded {d['recorded']}, observed: {d['observed']}" for d in raw["drift"]]
    if raw["pending"]:
        lines.append(
            f"Not yet confirmed from earlier applies: {', '.join(raw['pending'][:8])}"
            + (f" and {len(raw['pending']) - 8} more" if len(raw["pending"]) > 8 else "")
        )
    wave = -1
    for step in raw["steps"][:MAX_SHOWN]:
        if step["wave"] != wave:
            wave = step["wave"]
            lines.append(f"{'First' if not wave else 'Then, once that is confirmed'}:")
        state = f" [{done[step['id']]}]" if done and step["id"] in done else ""
        mark = ACTION_MARKS.get(step["action"]) or ("~" if step["before"] else "+")
        lines.append(f"  {mark} {step['action']} {step['kind']}.{step['name']}{state}")
        lines += _changes(step)
    if len(raw["steps"]) > MAX_SHOWN:
        lines.append(f"  ... {len(raw['steps']) - MAX_SHOWN} more steps; --json shows them all")
    for id, reason in list(raw["blocked"].items())[:MAX_SHOWN]:
        lines.append(f"  x {id}: cannot be done: {reason}")
    for node, classes in raw["forecast"].items():
        lines.append(f"Shares of requests at {node}, in points of a hundred:")
        boxes = sorted({box for by_box in classes.values() for box in by_box})
        lines.append("  " + "".ljust(24) + "".join(cls.rjust(20) for cls in classes))
        for box in boxes:
            cells = [by_box.get(box, {"before": 0.0, "after": 0.0}) for by_box in classes.values()]
            lines.append(
                "  "
                + box.ljust(24)
                + "".join(f"{100 * cell['before']:.1f} -> {100 * cell['after']:.1f}".rjust(20) for cell in cells)
            )
    lines.append(summary(raw))
    return "\n".join(lines)


def _changes(step: Mapping[str, Any]) -> list[str]:
    before, after = step["before"] or {}, step["after"] or {}
    if step["action"] not in ("set", "update") or not before:
        return []
    return [
        f"      {key}: {before.get(key)!r} -> {after.get(key)!r}"
        for key in sorted({*before, *after})
        if before.get(key) != after.get(key) and key != "classes"
    ]


def summary(raw: Mapping[str, Any]) -> str:
    steps = raw["steps"]
    if not steps and not raw["blocked"]:
        return f"Nothing to do; state version {raw['base']}."
    count = {a: sum(s["action"] == a for s in steps) for a in ("add", "drain", "remove", "update", "return", "unset")}
    new = sum(s["action"] == "set" and not s["before"] for s in steps)
    changed = count["update"] + sum(s["action"] == "set" and bool(s["before"]) for s in steps)
    text = (
        f"{count['add'] + count['return'] + new} to add, {changed} to change, {count['drain']} to drain, "
        f"{count['remove'] + count['unset']} to remove, in {max((s['wave'] for s in steps), default=-1) + 1} "
        f"rounds; on state version {raw['base']}."
    )
    return text + (f" {len(raw['blocked'])} steps cannot be done." if raw["blocked"] else "")
