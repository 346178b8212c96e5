"""A control plane's time across its restarts.

What is recorded (when a server began to drain or to warm up, until when an apply is somebody's) is in the control
plane's own time, and the next process goes on with it. The wall clock may be stepped between the two, so the time goes
on by the machine's monotonic clock: the file holds by what the two clocks differed when the first process since the
machine's start began. After a restart of the machine the wall clock is taken anew.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import orjson

from threadhill.core.clock import Clock
from threadhill.files import replace_atomically

NAME = "clock.json"
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")  # of this start of the machine, as Linux tells it


def continued_clock(folder: Path, log: Callable[[str], None], boot_file: Path = BOOT_ID) -> Clock:
    """The clock of a control plane whose state is in `folder`. A file that cannot be read or written is logged; then
    the time starts from the wall clock, as after a restart of the machine."""
    path, boot = folder / NAME, _boot_id(boot_file)
    known = _read(path, log)
    if known is not None and boot and known[0] == boot:
        return Clock(anchor=known[1])
    clock = Clock()
    try:
        replace_atomically(path, orjson.dumps({"boot": boot, "anchor": clock.anchor}))
    except OSError as error:
        log(f"clock: {path}: not written: {error}; after a restart the time goes on by the wall clock")
    return clock


def _boot_id(file: Path) -> str:
    try:
        return file.read_text().strip()
    except OSError:
        return ""


def _read(path: Path, log: Callable[[str], None]) -> tuple[str, int] | None:
    try:
        told = orjson.loads(path.read_bytes())
        return str(told["boot"]), int(told["anchor"])
    except FileNotFoundError:
        return None
    except (OSError, ValueError, KeyError, TypeError) as error:
        log(f"clock: {path}: cannot be read: {error!r}; the time starts from the wall clock")
        return None
