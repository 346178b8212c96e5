"""The control plane's clock continues across restarts, even if the wall clock is stepped in between."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from threadhill.control.clock_file import CLOCK_FILE, continued_clock

HOUR_NS = 3_600_000_000_000


def boot(folder: Path, name: str) -> Path:
    file = folder / f"boot-{name}"
    file.write_text(name + "\n")
    return file


@pytest.mark.parametrize("step", [-HOUR_NS, HOUR_NS])
def test_time_continues_after_a_restart_with_the_wall_clock_stepped(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: int
) -> None:
    """Guards against a drain that counts as finished, or a server as warm, because the clock was set ahead."""
    first = continued_clock(tmp_path, print, boot(tmp_path, "a"))
    real = time.time_ns
    monkeypatch.setattr(time, "time_ns", lambda: real() + step)
    before = first.now()
    second = continued_clock(tmp_path, print, boot(tmp_path, "a"))
    assert 0 <= second.now() - before < 1_000_000


def test_after_a_reboot_time_starts_from_the_wall_clock(tmp_path: Path) -> None:
    continued_clock(tmp_path, print, boot(tmp_path, "a"))
    (tmp_path / CLOCK_FILE).write_text((tmp_path / CLOCK_FILE).read_text().replace('"anchor":', '"anchor":9'))
    again = continued_clock(tmp_path, print, boot(tmp_path, "b"))
    assert abs(again.now() - time.time_ns() // 1_000) < 1_000_000


@pytest.mark.parametrize("content", [b"", b"{", b"[]", b'{"boot":1}', b'{"boot":"a","anchor":"x"}', b"\xff\xfe"])
def test_a_file_that_cannot_be_read_is_logged_and_has_no_other_effect(tmp_path: Path, content: bytes) -> None:
    (tmp_path / CLOCK_FILE).write_bytes(content)
    lines: list[str] = []
    clock = continued_clock(tmp_path, lines.append, boot(tmp_path, "a"))
    assert "cannot be read" in lines[0] and abs(clock.now() - time.time_ns() // 1_000) < 1_000_000


def test_a_folder_that_cannot_be_written_is_logged_and_has_no_other_effect(tmp_path: Path) -> None:
    lines: list[str] = []
    clock = continued_clock(tmp_path / "not there", lines.append, boot(tmp_path, "a"))
    assert "not written" in lines[0] and abs(clock.now() - time.time_ns() // 1_000) < 1_000_000
