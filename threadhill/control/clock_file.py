"""Keeps a control plane's time continuous across its restarts.

Recorded times (when a server began to drain or to warm up, when an apply's lease expires) are in the control plane's
own time, which the next process must continue. The wall clock may be stepped between the two processes, so time
continues by the machine's monotonic clock: the file holds the offset between the two clocks, taken when the first
process after the machine's boot started. After a reboot the offset is taken from the wall clock again.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import orjson

from threadhill.core.clock import Clock
from threadhill.files import replace_atomically

CLOCK_FILE = "clock.json"
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")  # Linux: a new value at each boot


def continued_clock(folder: Path, log: Callable[[str], None], boot_file: Path = BOOT_ID) -> Clock:
    """The clock of a control plane whose state is in `folder`. A file that cannot be read or written is logged, and
    time then starts from the wall clock, as after a reboot."""
    path, boot = folder / CLOCK_FILE, _boot_id(boot_file)
    known = _read(path, log)
    if known is not None and boot and known[0] == boot:
        return Clock(anchor=known[1])
    clock = Clock()
    try:
        replace_atomically(path, orjson.dumps({"boot": boot, "anchor": clock.anchor}))
    except OSError as error:
        log(f"clock: {path}: not written: {error}; after a restart the time continues from the wall clock")
    return clock


def _boot_id(file: Path) -> str:
    try:
        return file.read_text().strip()
    except OSError:
        return ""


def _read(path: Path, log: Callable[[str], None]) -> tuple[str, int] | None:
    try:
        stored = orjson.loads(path.read_bytes())
        return str(stored["boot"]), int(stored["anchor"])
    except FileNotFoundError:
        return None
    except (OSError, ValueError, KeyError, TypeError) as error:
        log(f"clock: {path}: cannot be read: {error!r}; the time starts from the wall clock")
        return None
