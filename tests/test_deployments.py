"""Another deployment than the first: its classes, orders, reports, hubs and figures, on the real program."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import pytest

from tests.test_proxy import play
from tests.world import SETTINGS, World, whole
from threadhill.net.lines import read_waited

# Three hubs and a branch; the class that runs at the origin first, with no key; notes told, sizes not.
CLASSES = [
    {"deadline": 3_000_000, "name": "record-request", "objective": 800_000, "repeat": "non_idempotent", "value": 3.0},
    {"aim-stretch": 2.0, "deadline": 3_000_000, "name": "small-record", "objective": 300_000, "repeat": "read_like",
     "value": 1.0},
    {"aim-stretch": 2.0, "deadline": 6_000_000, "name": "big-record", "objective": 500_000, "repeat": "read_like",
     "value": 2.0}]
OTHER: dict[str, Any] = {
    "extra": SETTINGS["extra"] | {
        "class-write": [True, False, False], "crew-by-zone": [0, 0, 0, 1], "fresh-for": [0, 12_000_000, 0],
        "hub-of": [0, 1, 2, 0], "in-parts": [False, False, False], "notes-given": "all", "purge-slack": 300_000,
        "upper-cold-from": 0.069},
    "obligations": SETTINGS["obligations"] | {"drain-grace": 500_000, "fall": 1_000_000, "fall-multiple": 2.0},
    "profiles": CLASSES, "report": {"columns": ["rif", "busy", "x1"], "via": "answers"},
    "zone": "edge-1", "zones": ["north", "sierra", "south", "edge-1"],
}
REPORT = "report=inflight:1;util:0.2;x1:0.1"


def island(folder: Path, scene: Any, **more: Any) -> None:
    play(folder, scene, settings=OTHER, **more)


@pytest.mark.parametrize(("remark", "behind"), [("cut_off", True), ("turned_away", True), ("no_such_word", False)])
def test_a_failure_that_is_the_sources_is_not_put_down_to_the_cache(tmp_path: Path, remark: str,
                                                                     behind: bool) -> None:
    """Guards against notes that get lost between the line and the module: where answers tell all, one without a note
    says that the cache itself failed, so the ill source was asked again by way of every other cache."""

    async def scene(w: World) -> None:
        def behave(ask: dict[str, str]) -> tuple[str, str, bytes]:
            if ask.get("from") == w.parent.name:
                return "error", f"remark={remark},waited=40,{REPORT}", b""
            return "ok", f"ver=v1,born=1764576000000,remark=pulled,waited=5,{REPORT}", whole(ask)

        for box in w.caches:
            box.behave = behave
        client = await w.client()
        word, _, _ = await client.get("small-record")
        assert (word == "200") == behind
        assert (w.origin.name in [ask.get("from") for ask in w.asked()]) == behind

    island(tmp_path, scene)


@pytest.mark.parametrize(("text", "microseconds"), [("40", 40_000), ("0.5", 500), ("", 0), ("-3", 0), ("nan", 0),
                                                    ("1e9", 0), ("9" * 40, 0)])
def test_an_odd_wait_is_none(text: str, microseconds: int) -> None:
    """Guards against a figure that upsets the averages it goes into."""
    assert read_waited(text) == microseconds


def test_what_must_never_run_twice_is_sent_once_and_failed_when_its_connection_breaks(tmp_path: Path) -> None:
    """Guards against a repeat that is only harmless where a key tells the origin so."""

    async def scene(w: World) -> None:
        def break_off(ask: dict[str, str]) -> None:
            w.origin.reset()

        w.origin.behave = break_off
        client = await w.client()
        word, fields, _ = await client.get("record-request", body=b"order", obj=os.urandom(8).hex())
        assert word not in ("200", "503") and "backoff" not in fields
        assert len(w.asked()) == 1 and "replay" not in w.origin.asked[0]

    island(tmp_path, scene)
