"""A second deployment with other classes, writes, reports, hubs and values, tested on the running program."""

from __future__ import annotations

import json
import os
import re
import time
from pathlib import Path
from typing import Any

import pytest

from tests.harness import ROOT, SETTINGS, ProxyHarness, body_of
from tests.test_proxy import run_scenario
from threadhill.decision import interface as api
from threadhill.net.upstream_codec import read_waited
from threadhill.settings import Malformed, read_settings

# Three hubs and one edge location. The first class runs at the origin and has no idempotency key. Answers carry a
# remark about the fill, and requests no sizes.
CLASSES = [
    {"deadline": 3_000_000, "name": "record-request", "objective": 800_000, "repeat": "non_idempotent", "value": 3.0},
    {
        "aim-stretch": 2.0,
        "deadline": 3_000_000,
        "name": "small-record",
        "objective": 300_000,
        "repeat": "read_like",
        "value": 1.0,
    },
    {
        "aim-stretch": 2.0,
        "deadline": 6_000_000,
        "name": "big-record",
        "objective": 500_000,
        "repeat": "read_like",
        "value": 2.0,
    },
]
OTHER_SETTINGS: dict[str, Any] = SETTINGS | {
    "extra": SETTINGS["extra"]
    | {
        "class-write": [True, False, False],
        "crew-by-zone": [0, 0, 0, 1],
        "fresh-for": [0, 12_000_000, 0],
        "hub-of": [0, 1, 2, 0],
        "in-parts": [False, False, False],
        "notes-given": "all",
        "purge-slack": 300_000,
        "upper-cold-from": 0.069,
    },
    "obligations": SETTINGS["obligations"] | {"drain-grace": 500_000, "fall": 1_000_000, "fall-multiple": 2.0},
    "profiles": CLASSES,
    "report": {"columns": ["rif", "busy", "x1"], "via": "answers"},
    "zone": "edge-1",
    "zones": ["north", "sierra", "south", "edge-1"],
}
REPORT = "report=inflight:1;util:0.2;x1:0.1"


def run_other_deployment(folder: Path, scenario: Any, **more: Any) -> None:
    run_scenario(folder, scenario, settings=OTHER_SETTINGS, **more)


@pytest.mark.parametrize(("remark", "behind"), [("cut_off", True), ("turned_away", True), ("no_such_word", False)])
def test_a_failure_of_the_source_is_not_attributed_to_the_cache(tmp_path: Path, remark: str, behind: bool) -> None:
    """Guards against losing the remark between the answer's line and the decision module: where answers carry remarks,
    one without a remark means that the cache itself failed, and the failing source was tried through every cache."""

    async def scenario(w: ProxyHarness) -> None:
        def behave(ask: dict[str, str]) -> tuple[str, str, bytes]:
            if ask.get("from") == w.parent.name:
                return "error", f"remark={remark},waited=40,{REPORT}", b""
            return "ok", f"ver=v1,born=1764576000000,remark=pulled,waited=5,{REPORT}", body_of(ask)

        for box in w.caches:
            box.behave = behave
        client = await w.client()
        word, _, _ = await client.get("small-record")
        assert (word == "200") == behind
        assert (w.origin.name in [ask.get("from") for ask in w.asked()]) == behind

    run_other_deployment(tmp_path, scenario)


@pytest.mark.parametrize(
    ("text", "microseconds"), [("40", 40_000), ("0.5", 500), ("", 0), ("-3", 0), ("nan", 0), ("1e9", 0), ("9" * 40, 0)]
)
def test_an_invalid_wait_counts_as_none(text: str, microseconds: int) -> None:
    """Guards against a value that spoils the averages in which it is used."""
    assert read_waited(text) == microseconds


def test_a_non_idempotent_request_is_sent_once_and_fails_if_its_connection_breaks(tmp_path: Path) -> None:
    """Guards against a retry that is safe only with an idempotency key."""

    async def scenario(w: ProxyHarness) -> None:
        def break_off(ask: dict[str, str]) -> None:
            w.origin.reset()

        w.origin.behave = break_off
        client = await w.client()
        word, fields, _ = await client.get("record-request", body=b"order", obj=os.urandom(8).hex())
        assert word not in ("200", "503") and "backoff" not in fields
        assert len(w.asked()) == 1 and "replay" not in w.origin.asked[0]

    run_other_deployment(tmp_path, scenario)


def changed_settings(**change: Any) -> dict[str, Any]:
    """The other deployment's settings with changes: `extra__x` means key x of extra, and `_` means `-`."""
    options: dict[str, Any] = json.loads(json.dumps(OTHER_SETTINGS))
    for path, value in change.items():
        group, _, key = path.replace("_", "-").rpartition("--")
        place = options.setdefault(group, {}) if group else options
        place.pop(key, None)
        if value is not None:
            place[key] = value
    return options


def test_the_other_deployments_settings_are_read_correctly() -> None:
    read = read_settings(changed_settings())
    assert [cls.name for cls in read.classes.values()] == ["record-request", "small-record", "big-record"]
    order, small, big = read.classes.values()
    assert (order.retry_safety, order.write, order.dedup_window) == (api.RetrySafety.UNSAFE, True, 0)
    assert (small.freshness_lifetime, big.freshness_lifetime, small.in_parts or big.in_parts) == (12_000_000, 0, False)
    assert (read.cache_status_detail, read.zone_hub, read.parent_cold_capacity) == (
        api.CacheStatusDetail.ALL,
        (0, 1, 2, 0),
        0.069,
    )
    assert (read.drain_grace, read.overload_window, read.overload_multiple) == (500_000, 1_000_000, 2.0)


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({"extra__notes_given": "some"}, "notes-given is unknown"),
        ({"extra__notes_given": ""}, "notes-given is unknown"),
        ({"extra__hub_of": [0, 1, 2]}, "hub-of has 3 values, zones 4"),
        ({"extra__hub_of": [0, 1, 2, 4]}, "has place 4"),
        ({"extra__hub_of": [0, 1, 2, "west"]}, "hub-of must be a whole number"),
        ({"extra__hub_of": [0, 1, 2, None]}, "hub-of is missing"),
        ({"extra__fresh_for": [0, 12_000_000]}, "fresh-for has 2 values, profiles 3"),
        ({"extra__fresh_for": [0, -1, 0]}, "fresh-for of class small-record is -1"),
        ({"extra__class_write": [1, 0, 0]}, "class-write must be true or false"),
        ({"extra__in_parts": ["no", "no", "no"]}, "in-parts must be true or false"),
        ({"extra__upper_cold_from": 6.9}, "upper-cold-from is 6.9; as a share it is 1 at most"),
        ({"extra__upper_kind": 3}, "upper-kind is 3; machine-types has 3 names"),
        ({"extra__shares_fills": "yes"}, "shares-fills must be true or false"),
        ({"obligations__drain_grace": "500ms"}, "drain-grace must be a whole number"),
        ({"obligations__drain_grace": -1}, "drain-grace is -1"),
        ({"obligations__start_capacity": float("nan")}, "start-capacity must be a number"),
        ({"report__columns": ["util", "util"]}, 'report.columns has "util" twice'),
        ({"report__columns": "util"}, "report.columns must be an array"),
        ({"zone": "edge-9"}, 'zone is "edge-9", which zones does not name'),
        ({"zone": 4}, "zone must be text"),
        ({"zones": ["north", "", "south", "edge-1"]}, r"zones\[1\] is empty"),
        ({"zones": ["north", "north", "south", "edge-1"]}, 'zones has "north" twice'),
        ({"membership_mode": "push"}, "membership-mode is unknown"),
        ({"profiles": [*CLASSES[:2], CLASSES[1]]}, 'profiles has "small-record" twice'),
        ({"profiles": [CLASSES[0] | {"name": ""}, *CLASSES[1:]]}, r"profiles\[0\].name\[0\] is empty"),
        ({"profiles": [CLASSES[0] | {"repeat": "never"}, *CLASSES[1:]]}, r"profiles\[0\].repeat is unknown"),
        ({"profiles": [CLASSES[0] | {"late-worth": 20}, *CLASSES[1:]]}, "late-worth of class record-request is 20"),
    ],
)
def test_invalid_settings_are_refused_with_the_name_of_the_key(change: dict[str, Any], said: str) -> None:
    """Guards against starting with invalid settings: "false" counted as true, a short list left classes without
    values."""
    with pytest.raises(Malformed, match=said):
        read_settings(changed_settings(**change))


def test_the_program_names_no_operator_or_site() -> None:
    """Guards against code for one deployment: all differences between deployments belong in their settings."""
    names = re.compile(r"pista|andina|preview.edge|island|weather archive|franchise", re.I)
    files = [*(ROOT / "threadhill").rglob("*.py"), *(ROOT / "deploy").glob("*.toml")]
    assert len(files) > 80
    assert [str(file) for file in files if names.search(file.read_text())] == []


def test_a_load_report_with_three_columns_is_used(tmp_path: Path) -> None:
    """`x1` reports a full link. No hit ratio is reported and none is assumed: misses are not filled."""

    async def scenario(w: ProxyHarness) -> None:
        for box in w.caches:
            box.behave = lambda ask: (
                "ok",
                "ver=v1,born=1764576000000,remark=local,report=inflight:1;util:0.3;x1:90",
                body_of(ask),
            )
        client = await w.client()
        await client.get("big-record")
        await client.get("big-record", obj="00000000000000aa")
        assert [("from" in ask) for ask in w.asked()] == [True, False]

    run_other_deployment(tmp_path, scenario)


def test_a_freshness_lifetime_applies_only_to_its_class(tmp_path: Path) -> None:
    """Guards against using one class's value for another: after a purge, the maximum age sent is
    within the freshness lifetime."""

    async def scenario(w: ProxyHarness) -> None:
        w.journal.add({"expire": {"set": 17, "stamp": int(time.time() * 1000)}})
        await w.wait_for_events()
        client = await w.client()
        for cls in ("small-record", "big-record"):
            assert (await client.get(cls))[0] == "200"
        small, big = w.asked()
        assert 0 < int(small["oldest"]) <= 6_000 and 0 < int(big["oldest"]) <= 6_000
        assert "refresh" in small["mode"] and "refresh" not in big["mode"]

    run_other_deployment(tmp_path, scenario)


def test_drained_servers_are_used_neither_as_cache_nor_as_source_with_three_hubs(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        client = await w.client()
        w.journal.hosts(w.caches[0].member("DRAINING"), w.parent.member("DRAINING"))
        await w.wait_for_events()
        for n in range(12):
            assert (await client.get("big-record", obj=f"{n:016x}"))[0] == "200"
        assert {ask["from"] for ask in w.asked()} == {w.origin.name}
        assert not w.caches[0].asked and not w.parent.asked

    run_other_deployment(tmp_path, scenario)


@pytest.mark.parametrize(("limits", "backoff"), [({"retry-after": False}, None), ({"max-retry-after": 120_000}, "120")])
def test_the_fronts_own_refusals_keep_to_the_sites_limit_of_the_retry_time(
    tmp_path: Path, limits: dict[str, Any], backoff: str | None
) -> None:
    """Guards against a fixed retry time of half a second, which is the limit of the first site only."""

    async def scenario(w: ProxyHarness) -> None:
        for box in w.boxes:
            box.behave = lambda ask: None
        client = await w.client()
        tags = [client.ask("big-record", obj=f"{n:016x}") for n in range(40)]
        word, fields, _ = await client.answer(tags[-1])  # over the limit of 32 open requests per connection
        assert (word, fields.get("backoff")) == ("503", backoff)

    run_scenario(tmp_path, scenario, settings=OTHER_SETTINGS | {"limits": OTHER_SETTINGS["limits"] | limits})
