"""The file in which one proxy keeps what it knows. What can't be read is set aside with one line in the log; what can't
be written is told once and tried again. Nothing that happens to a file ends the proxy."""

from __future__ import annotations

import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from threadhill.recovery.saved import MOST, SavedState, unpack
from threadhill.settings import Malformed


class StateFile:
    """`FOLDER/NAME.state`, replaced whole each time."""

    def __init__(self, folder: Path, name: str, whose: str, log: Callable[[str], None]) -> None:
        safe = "".join(c if c.isalnum() or c in "-_." else "_" for c in name) or "proxy"
        self.path, self.whose, self.log = folder / f"{safe}.state", whose, log
        self.failing = False

    def read(self, now: int) -> SavedState | None:
        """What it holds at this Unix microsecond; None where there is none or it is of no use."""
        try:
            with self.path.open("rb") as file:
                raw = file.read(MOST + 1)
            return unpack(raw, self.whose, now)
        except FileNotFoundError:
            return None
        except OSError as error:
            self.log(f"state: {self.path}: can't be read: {error.strerror}; starting without it")
        except Malformed as error:
            aside = self.path.with_suffix(".damaged")
            try:
                os.replace(self.path, aside)
                kept = f"kept as {aside}"
            except OSError:
                kept = "left where it is"
            self.log(f"state: {self.path}: {error}; {kept}, starting without it")
        return None

    def write(self, raw: bytes) -> bool:
        """Replace it: written beside, on the disk, and renamed, so that it is one or the other after a crash."""
        beside = self.path.with_name(f".{self.path.name}.{os.getpid()}")
        try:
            handle = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            try:
                left = memoryview(raw)
                while left:
                    left = left[os.write(handle, left) :]
                os.fsync(handle)
            finally:
                os.close(handle)
            os.replace(beside, self.path)
        except OSError as error:
            if not self.failing:
                self.log(f"state: {self.path}: not written: {error.strerror}; the older one stays, tried again")
            self.failing = True
            with suppress(OSError):  # the folder itself is gone, or not ours
                beside.unlink(missing_ok=True)
            return False
        if self.failing:
            self.log(f"state: {self.path}: written again")
        self.failing = False
        return True
