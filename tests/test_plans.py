"""Tests of configuration files, the planner and the forecast: the parts of plan and apply that need no socket."""

from __future__ import annotations

import contextlib
import json
import random
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.harness import ROOT
from threadhill.control import progress
from threadhill.control.proxy_reports import ProxyReports
from threadhill.control.store import StepState
from threadhill.decision import interface as api
from threadhill.plans import configuration, fmt, forecast, options, planner, rules, saved, syntax
from threadhill.plans.faults import InvalidConfiguration
from threadhill.plans.planner import Observed
from threadhill.plans.resource import Resource
from threadhill.plans.rules import Fleet, Phase, Record
from threadhill.settings import read_settings

EXAMPLE = ROOT / "deploy" / "example"
BASE = (EXAMPLE / "fleet.hcl").read_text()


def read(text: str, **given: object) -> dict[str, Resource]:
    faults: list = []
    blocks = syntax.parse(text, "x.hcl", faults)
    if faults:
        raise InvalidConfiguration(faults)
    return configuration.evaluate(blocks, given)


def value_of(expression: str, **names: object) -> object:
    faults: list = []
    attributes = syntax.parse_values(f"a = {expression}", "x", faults)
    if faults:
        raise InvalidConfiguration(faults)
    return attributes["a"].value(configuration.Scope(configuration.no_names, names))


@pytest.mark.parametrize(
    ("expression", "value"),
    [
        ("1 + 2 * 3 - 4 / 2", 5),
        ("(1 + 2) * 3", 9),
        ("-7 % 3", -1),
        ("!true || 1 < 2 && 2 <= 2", True),
        ('"a${1 + 1}b${true}$${c}"', "a2btrue${c}"),
        (r'"q\"\n\u00e9"', 'q"\né'),
        ("[for i in range(3) : i * i]", [0, 1, 4]),
        ('{for k, v in {a = 1, b = 2} : "x-${k}" => v if v > 1}', {"x-b": 2}),
        ("x > 2 ? [1] : [2]", [1]),
        ('format("%03d-%s%%", 7, "z")', "007-z%"),
        ('merge({a = 1}, {a = 2, "b c" = 3})', {"a": 2, "b c": 3}),
        ("{a = [10, 20]}.a[1]", 20),
        ('join("-", toset(["b", "a", "b"]))', "a-b"),
        ("<<-T\n  one\n   two\n  T\n", "one\n two\n"),
        ('lookup({a = 1}, "b", 9)', 9),
        ("flatten([[1, [2]], 3])", [1, 2, 3]),
        ('tonumber("12") + ceil(1.2)', 14),
        ("null", None),
    ],
)
def test_expressions(expression: str, value: object) -> None:
    assert value_of(expression, x=3) == value


@pytest.mark.parametrize(
    ("expression", "said"),
    [
        ("nobody", "there is no `nobody`"),
        ("x[*].y", "not supported"),
        ('"%{if true}a%{endif}"', "not supported"),
        ("f(1)", "there is no function `f`"),
        ("max([1]...)", "not supported"),
        ("1 / 0", "division"),
        ('1 + "a"', "a number"),
        ("[1][5]", "no item 5"),
        ("{a = 1}.b", "no 'b'"),
        ("range(99999999)", "over"),
        ('{a = 1, "a" = 2}', "twice"),
        ('format("%d", "x")', "takes a number"),
        ("true ? 1", "HCL"),
        ("<<T\n${x}\nT\n", "plain text"),
    ],
)
def test_unsupported_expressions_are_errors(expression: str, said: str) -> None:
    with pytest.raises((InvalidConfiguration, configuration.EvalError), match="(?s).*" + said.replace("(", r"\(")):
        value_of(expression, x=[1])


def test_all_faults_are_reported_together_with_file_line_and_name() -> None:
    text = (
        BASE
        + """
box "costa-0" {
  node    = node.nowhere
  address = "127.0.0.1:19010"
  colour  = 1
}
parent "a" {
  hub        = hub.sierra
  address    = "127.0.0.1:70000"
  fills_from = [box.costa["1"]]
}
parent "b" {
  hub        = hub.sierra
  address    = "127.0.0.1:19111"
  fills_from = [parent.c]
}
parent "c" {
  hub        = hub.sierra
  address    = "127.0.0.1:19111"
  fills_from = [parent.b]
}
tenant "x" {
  zones = ["route.example", "a..b"]
}
thing "y" {}
"""
    )
    line = BASE.count("\n")
    with pytest.raises(InvalidConfiguration) as caught:
        read(text, boxes=3, colour="red")
    reported = [(f.line - line if f.line else 0, f.name, f.text) for f in caught.value.faults]

    def has_fault(line_number: int, name: str, part: str) -> bool:
        return any(l == line_number and n == name and part in t for l, n, t in reported)  # noqa: E741

    assert has_fault(2, "box.costa-0", "is defined twice")
    assert has_fault(9, "parent.a", "port")
    assert has_fault(10, "parent.a", "must name a parent or a library; box.costa-1 is a box")
    assert has_fault(15, "parent.b", "parent.b -> parent.c -> parent.b") and has_fault(
        19, "parent.c", "is already used by parent.b"
    )
    assert has_fault(23, "tenant.x", "domain name") and has_fault(25, "thing.y", "no such kind")
    assert has_fault(0, "colour", "no such variable")
    with pytest.raises(InvalidConfiguration) as caught:
        read('node "n" {\n  hub = hub.none\n  lod = 1\n}\nvariable "v" {}\nlocals {\n  a = local.b\n  b = local.a\n}')
    text = str(caught.value)
    assert all(
        part in text
        for part in (
            "x.hcl:2: node.n: hub: there is no 'none'",
            "x.hcl:3: node.n: lod: no such",
            "x.hcl:5: variable.v",
            "local.a refers to itself: a -> b -> a",
        )
    )


def test_syntax_errors_of_all_files_are_reported(tmp_path: Path) -> None:
    (tmp_path / "a.hcl").write_text('hub "h" {\n  x = = 1\n}\n')
    (tmp_path / "b.hcl").write_text('hub "h" {\n  x = 1\n  x = 2\n}\n')
    (tmp_path / "c.hcl").write_text('hub "h" {\n')
    with pytest.raises(InvalidConfiguration) as caught:
        syntax.read(tmp_path)
    assert [(Path(f.file).name, f.line) for f in caught.value.faults][:2] == [("a.hcl", 2), ("b.hcl", 3)]
    assert {Path(f.file).name for f in caught.value.faults} == {"a.hcl", "b.hcl", "c.hcl"}


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.text(max_size=200)
    | st.lists(
        st.sampled_from(
            ['box "a" {', "}", "\n", "a = ", "[", "]", "1", '"${', "x.y", "<<E\n", "E\n", "for", " : ", "{", "?", "%{"]
        ),
        max_size=25,
    ).map("".join)
)
def test_any_text_parses_or_raises_invalid_configuration(text: str) -> None:
    with contextlib.suppress(InvalidConfiguration):
        configuration.evaluate(syntax.parse(text, "x", []))


def test_formatting_changes_only_white_space_and_is_idempotent() -> None:
    messy = (
        'locals {\n\n\n  a=1 # one\n long_name   =   "x = y"\n  m = {\n a = 1\n  bb = [1,\n2]\n}\n'
        " t = <<E\n  kept  \nE\n"
        '/* a\n   b */\n}\n\n\nhub   "h" {}\n\n'
    )
    formatted = fmt.canonical(messy)
    assert fmt.canonical(formatted) == formatted and '  a         = 1 # one\n  long_name = "x = y"\n' in formatted
    assert "  kept  \nE\n" in formatted and "    bb = [1,\n      2]\n" in formatted
    blocks = [syntax.parse(text, "x", []) for text in (messy, formatted)]
    assert len({str([(b.kind, b.labels, sorted(b.attributes)) for b in side]) for side in blocks}) == 1
    assert fmt.canonical(BASE) == BASE


# --- the planner


def settled(resources: dict[str, Resource]) -> Fleet:
    """The state in which all these resources are set up and confirmed."""
    wanted = planner.with_config_digests(resources)
    fleet = Fleet.from_records(
        [planner.record_of(r, warm=True) for r in wanted.values()], rules.places(wanted.values())
    )
    planner.confirm_all(fleet)
    return fleet


def test_new_boxes_are_added_in_waves_that_keep_the_limit_of_cold_boxes() -> None:
    plan = planner.plan(read(BASE, boxes=7), settled(read(BASE)).records.values())
    assert [(s.id, s.wave) for s in plan.steps] == [
        ("add box.costa-3", 0),
        ("add box.costa-4", 1),
        ("add box.costa-5", 1),
        ("add box.costa-6", 2),
    ]


def test_upper_caches_are_added_before_and_drained_after_the_boxes_that_fill_from_them() -> None:
    larger = BASE.replace('toset(["a", "b"])', 'toset(["a", "b", "c"])').replace(
        '"a" ? 1 : 2', '"a" ? 1 : each.key == "b" ? 2 : 3'
    )
    plan = planner.plan(read(larger, boxes=4), settled(read(BASE)).records.values())
    wave_of = {s.id: s.wave for s in plan.steps}
    assert wave_of["add parent.upper-c"] < wave_of["add box.costa-3"] and "add parent.upper-c" in {
        n for s in plan.steps if s.id == "add box.costa-3" for n in s.needs
    }
    back = planner.plan(read(BASE), settled(read(larger, boxes=4)).records.values())
    wave_of = {s.id: s.wave for s in back.steps}
    assert wave_of["update box.costa-0"] <= wave_of["drain parent.upper-c"] < wave_of["remove parent.upper-c"]
    assert wave_of["drain box.costa-3"] <= wave_of["drain parent.upper-c"]


def test_replacing_all_boxes_of_a_node_keeps_enough_warm() -> None:
    new = BASE.replace('box "costa"', 'box "nova"').replace("+ 10 +", "+ 20 +").replace("each.value < 3", "false")
    fleet = settled(read(BASE))
    plan = planner.plan(read(new), fleet.records.values())
    assert not plan.blocked
    assert {s.id for s in plan.steps} >= {"add box.nova-0", "drain box.costa-0", "remove box.costa-0"}
    fleet.places = rules.places(read(new).values())
    for wave in range(plan.waves):
        for step in (s for s in plan.steps if s.wave == wave):
            planner.begin(fleet, step)
            assert fleet.warm("node.costa-1") >= 2
        planner.confirm_all(fleet)
    assert sorted(r.name for r in fleet.records.values() if r.kind == "box") == ["nova-0", "nova-1", "nova-2"]


def test_an_address_is_reused_only_after_its_old_box_is_removed() -> None:
    new = BASE.replace('box "costa"', 'box "nova"').replace("each.value < 3", "false")
    plan = planner.plan(read(new), settled(read(BASE)).records.values())
    wave_of = {s.id: s.wave for s in plan.steps}
    assert all(wave_of[f"add box.nova-{i}"] > wave_of[f"remove box.costa-{i}"] for i in range(3)) and not plan.blocked


def test_drains_that_others_wait_for_come_first() -> None:
    new = BASE.replace("range(var.boxes)", "range(1)").replace("local.base + 10 +", "local.base + 12 +")
    plan = planner.plan(read(new), settled(read(BASE)).records.values())  # costa-0 moves to the address of costa-2
    assert not plan.blocked
    wave_of = {s.id: s.wave for s in plan.steps}
    assert (
        wave_of["drain box.costa-2"] < wave_of["drain box.costa-1"]
        and wave_of["drain box.costa-0"] < wave_of["drain box.costa-1"]
    )


def test_each_guard_refuses_by_itself() -> None:
    fleet = settled(read(BASE))
    box = fleet.records["box.costa-0"]
    late = Record("box", "late", box.attrs, Phase.WARM)
    assert "is still used by box.costa-0" in rules.may_list(fleet, late)
    assert rules.may_remove(fleet, box) == "box.costa-0 is not drained yet"
    assert "resources are still located there" in rules.may_remove(fleet, fleet.records["node.costa-1"])
    assert rules.may_drain(fleet, fleet.records["parent.upper-a"]) == "3 other servers still fill from it"


def test_the_last_box_of_a_node_is_kept_unless_allow_empty_is_set() -> None:
    without_boxes = BASE.replace("range(var.boxes)", "range(0)")
    plan = planner.plan(read(without_boxes), settled(read(BASE)).records.values())
    assert plan.blocked and "must keep 1 warm servers" in " ".join(plan.blocked.values())
    allowed = without_boxes.replace("  load = 0.5", "  load = 0.5\n  allow_empty = true")
    plan = planner.plan(read(allowed), settled(read(BASE)).records.values())
    assert not plan.blocked and sum(s.action == "remove" for s in plan.steps) == 3


def test_new_settings_are_applied_to_one_proxy_of_a_node_at_a_time() -> None:
    def steps(old: str, new: str) -> list[tuple[str, int]]:
        plan = planner.plan(read(BASE.replace(old, new)), settled(read(BASE)).records.values())
        return [(s.id, s.wave) for s in plan.steps]

    assert steps("client_kb_per_s = 4000", "client_kb_per_s = 5000") == [
        ("set settings.settings", 0),
        ("set proxy.p-1", 1),
        ("set proxy.p-2", 2),
    ]
    assert steps("settle_s        = 1.0", "settle_s        = 2.0") == [("set settings.settings", 0)]


def test_drift_is_reported_and_not_planned_as_a_change() -> None:
    observed = Observed(frozenset({"box.costa-1"}), {"proxy.p-2": "silent for 9.0 s"})
    plan = planner.plan(read(BASE), settled(read(BASE)).records.values(), observed)
    assert not plan.steps and [(d.id, d.observed) for d in plan.drift] == [
        ("box.costa-1", "no live proxy reaches it"),
        ("proxy.p-2", "silent for 9.0 s"),
    ]
    assert "Nothing to do" in saved.render(saved.document(plan, {}, 1, 1))


NODES, PARENTS = ("n1", "n2"), ("u1", "u2", "u3")
TIME_SETTINGS = {"settle_s": 0.0, "cold_s": 0, "upper_cold_s": 0, "drain_ms": 0, "silent_s": 7}
REQUEST_CLASSES = {"c": {"repeat": "safe", "wanted_ms": 1, "given_up_ms": 2, "worth": 1, "write": False}}


@st.composite
def installations(draw: st.DrawFn) -> dict[str, Resource]:
    """Random installations: two nodes with up to five boxes each, up to three upper caches, few addresses."""
    attrs = {"classes": REQUEST_CLASSES, "v": draw(st.integers(0, 1)), **TIME_SETTINGS}
    made = {"settings.settings": Resource("settings", "settings", attrs), "hub.h": Resource("hub", "h", {})}
    free = draw(st.permutations([f"127.0.0.1:{i}" for i in range(1, 24)]))
    server = {"size": 4.0, "cell": 0, "warm": False}

    def put(kind: str, name: str, **attrs: object) -> None:
        made[f"{kind}.{name}"] = Resource(kind, name, attrs)

    put("library", "l", hub="hub.h", address="127.0.0.1:99", **server)
    parents = draw(st.lists(st.sampled_from(PARENTS), min_size=1, unique=True))
    for name in parents:
        put("parent", name, hub="hub.h", address=free.pop(), fills_from=["library.l"], **server)
    for node in NODES:
        put(
            "node",
            node,
            hub="hub.h",
            load=draw(st.sampled_from([0.2, 0.5, 0.8])),
            hits=0.65,
            link_room=1.3,
            cold_at_once=None,
            allow_empty=False,
            link_kb_per_s=0.0,
        )
        for name in draw(st.lists(st.sampled_from("abcde"), min_size=1, unique=True)):
            sources = sorted(draw(st.sets(st.sampled_from(parents))))
            put(
                "box",
                f"{node}-{name}",
                node=f"node.{node}",
                address=free.pop(),
                fills_from=[f"parent.{s}" for s in sources],
                **server,
            )
        for i in range(draw(st.integers(0, 2))):
            put("proxy", f"p-{node}-{i}", node=f"node.{node}", listen=f"127.0.1.{NODES.index(node)}:{i + 1}")
    return made


@settings(max_examples=150, deadline=None, derandomize=True)
@given(installations(), installations(), st.randoms(use_true_random=False))
def test_every_prefix_of_a_plan_keeps_the_rules_and_replanning_gives_the_remaining_steps(
    before: dict[str, Resource], after: dict[str, Resource], rng: random.Random
) -> None:
    fleet = settled(before)
    plan = planner.plan(after, fleet.records.values())
    fleet.places = rules.places(planner.with_config_digests(after).values())
    # A node may begin below its new minimum of warm boxes; then it must only not fall any further.
    start = {name: fleet.warm(name) for name in fleet.places}
    remaining, done = list(plan.steps), set()
    while remaining:
        first = {s.place: s for s in reversed(remaining)}  # no step of a place overtakes another
        ready = [
            s
            for s in remaining
            if not set(s.needs) - done and planner.guard(fleet, s) is None and (s.place is None or first[s.place] is s)
        ]
        if not ready:  # the remaining steps only wait for confirmations
            moved, known = planner.confirm_all(fleet), len(done)
            done = {s.id for s in plan.steps if s not in remaining}
            assert moved or len(done) > known, "stuck in the middle of the plan"
            continue
        step = rng.choice(ready)
        planner.begin(fleet, step)
        remaining.remove(step)
        if step.action in ("set", "unset", "update", "return", "remove"):
            done.add(step.id)
        assert not rules.violations(fleet)
        for name, place in fleet.places.items():
            assert fleet.warm(name) >= min(place.min_warm, start[name]) or name == "library"
        addresses = [r.attrs["address"] for r in fleet.records.values() if "address" in r.attrs]
        assert len(addresses) == len(set(addresses))
        again = planner.plan(after, fleet.records.values())
        assert {s.id for s in again.steps} | set(again.blocked) == {s.id for s in remaining} | set(plan.blocked)
    planner.confirm_all(fleet)
    if not plan.blocked:
        last = planner.plan(after, fleet.records.values())
        assert not last.steps and not last.blocked
        assert {r.id for r in fleet.records.values()} == set(after)


@settings(max_examples=120, deadline=None, derandomize=True)
@given(installations(), installations(), st.randoms(use_true_random=False))
def test_an_apply_completes_in_any_order_of_confirmations(
    before: dict[str, Resource], after: dict[str, Resource], rng: random.Random
) -> None:
    fleet = settled(before)
    plan = planner.plan(after, fleet.records.values())
    fleet.places = rules.places(planner.with_config_digests(after).values())
    if plan.blocked:
        return
    states: dict[str, StepState] = {}
    while len([s for s in states.values() if s.state == "done"]) < len(plan.steps):
        transitions = progress.advance(plan.steps, states, fleet, ProxyReports(), 0)
        assert not transitions.halted, transitions.halted
        for step in transitions.begin:
            planner.begin(fleet, step)
            states[step.id] = StepState(1, step.id, "intended")
            assert not rules.violations(fleet)
        for done in transitions.done:
            states[done.id] = done
        waiting = [r for r in fleet.records.values() if r.phase in (Phase.COLD, Phase.DRAINING, Phase.CONFIGURING)]
        for record in rng.sample(waiting, min(len(waiting), 1 + rng.randrange(3))):
            one = Fleet.from_records([record], {})
            planner.confirm_all(one)
            fleet.put(one.records[record.id])
    last = planner.plan(after, fleet.records.values())
    assert not last.steps and not last.blocked


def test_a_saved_plan_with_a_changed_byte_is_refused() -> None:
    wanted = read(BASE, boxes=4)
    document = saved.document(planner.plan(wanted, settled(read(BASE)).records.values()), wanted, 1, 1)
    assert saved.check(json.loads(json.dumps(document))) == document
    raw = json.dumps(document)
    for position in range(0, len(raw), 97):
        altered = raw[:position] + chr(ord(raw[position]) ^ 1) + raw[position + 1 :]
        try:
            again = json.loads(altered)
        except ValueError:
            continue
        if again != document:
            with pytest.raises(saved.BadPlan):
                saved.check(again)


def test_forecast_shares_add_up_and_are_reproducible() -> None:
    shares = forecast.before_and_after(read(BASE), read(BASE, boxes=5), ["node.costa-1"])["node.costa-1"]
    for by_box in shares.values():
        for side in ("before", "after"):
            assert abs(sum(cell[side] for cell in by_box.values()) - 1) < 0.01
        assert len(by_box) == 5 and by_box["box.costa-4"]["before"] == 0 < by_box["box.costa-4"]["after"] < 0.5
    assert shares == forecast.before_and_after(read(BASE), read(BASE, boxes=5), ["node.costa-1"])["node.costa-1"]


def test_a_draining_server_returns_and_a_drained_one_is_added_again() -> None:
    wanted = read(BASE)
    for phase, ids in (
        (Phase.DRAINING, ["return box.costa-2"]),
        (Phase.DRAINED, ["remove box.costa-2", "add box.costa-2"]),
    ):
        fleet = settled(wanted)
        old = fleet.records["box.costa-2"]
        fleet.put(Record("box", old.name, old.attrs, phase, since=5))
        assert [s.id for s in planner.plan(wanted, fleet.records.values()).steps] == ids


# --- an installation with three hubs

OTHER = (EXAMPLE / "three-hubs" / "fleet.hcl").read_text()


def test_an_installation_with_three_hubs_is_planned_and_its_proxies_get_their_settings() -> None:
    assert fmt.canonical(OTHER) == OTHER
    made = read(OTHER)
    plan = planner.plan(made, [])
    assert not plan.blocked and sum(s.action == "add" for s in plan.steps) >= 12 + 3 + 1
    proxy_settings = read_settings(options.options(made, made["proxy.west-2"]))
    assert (
        proxy_settings.cache_status_detail,
        proxy_settings.zone,
        proxy_settings.location_routers,
        proxy_settings.routers,
    ) == (
        api.CacheStatusDetail.ALL,
        "west-1",
        2,
        4,
    )
    assert dict(zip(proxy_settings.zones, proxy_settings.zone_hub, strict=True)) == {
        "central": 0,
        "east": 1,
        "west": 2,
        "central-1": 0,
        "east-1": 1,
        "west-1": 2,
    }
    assert [(c.retry_safety, c.write, c.freshness_lifetime) for c in proxy_settings.classes.values()] == [
        (api.RetrySafety.UNSAFE, True, 0),
        (api.RetrySafety.SAFE, False, 12_000_000),
        (api.RetrySafety.SAFE, False, 0),
    ]
    assert (proxy_settings.drain_grace, proxy_settings.parent_cold_capacity, proxy_settings.overload_window) == (
        500_000,
        0.069,
        1_000_000,
    )


def test_caches_for_peak_days_are_added_and_the_forecast_gives_each_a_share() -> None:
    before, after = read(OTHER), read(OTHER, busiest=True)
    plan = planner.plan(after, settled(before).records.values())
    assert not plan.blocked
    assert {s.id for s in plan.steps} == {"add box.east-3", "add box.central-4", "add box.west-5"}
    shares = forecast.before_and_after(before, after, ["node.west-1"])["node.west-1"]
    assert set(shares) == {"small-record", "big-record"}
    for by_box in shares.values():
        assert by_box["box.west-5"]["before"] == 0 and 0.05 < by_box["box.west-5"]["after"] < 0.4
        assert sum(side["after"] for side in by_box.values()) == pytest.approx(1, abs=0.01)


def test_recorded_settings_without_notes_ask_caches_for_none() -> None:
    """Guards against failing on a store written by an earlier version, whose settings lack `notes` and `reports`."""
    made = read(BASE)
    old = made["settings.settings"]
    made["settings.settings"] = Resource(
        "settings", "settings", {k: v for k, v in old.attrs.items() if k not in ("notes", "reports")}
    )
    assert options.options(made, made["proxy.p-1"])["extra"]["notes-given"] == "none"
