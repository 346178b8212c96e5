"""The file in which one proxy saves its state. A file that can't be read is set aside with one log line; a failed
write is logged once and tried again. No error of a file ends the proxy."""

from __future__ import annotations

import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from threadhill.recovery.saved import MAX_BYTES, SavedState, unpack
from threadhill.settings import Malformed


class StateFile:
    """`FOLDER/NAME.state`, replaced as a whole by each write."""

    def __init__(self, folder: Path, name: str, installation: str, log: Callable[[str], None]) -> None:
        safe = "".join(c if c.isalnum() or c in "-_." else "_" for c in name) or "proxy"
        self.path, self.installation, self.log = folder / f"{safe}.state", installation, log
        self.failing = False

    def read(self, now: int) -> SavedState | None:
        """The content at this time (Unix microseconds); None if there is no file or it can't be used."""
        try:
            with self.path.open("rb") as file:
                raw = file.read(MAX_BYTES + 1)
            return unpack(raw, self.installation, now)
        except FileNotFoundError:
            return None
        except OSError as error:
            self.log(f"state: {self.path}: can't be read: {error.strerror}; starting without it")
        except Malformed as error:
            damaged_path = self.path.with_suffix(".damaged")
            try:
                os.replace(self.path, damaged_path)
                outcome = f"kept as {damaged_path}"
            except OSError:
                outcome = "left where it is"
            self.log(f"state: {self.path}: {error}; {outcome}, starting without it")
        return None

    def write(self, raw: bytes) -> bool:
        """Replaces the file atomically: a temporary file is written, synced and renamed. Returns whether it worked."""
        temporary = self.path.with_name(f".{self.path.name}.{os.getpid()}")
        try:
            descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            try:
                remaining = memoryview(raw)
                while remaining:
                    remaining = remaining[os.write(descriptor, remaining) :]
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
            os.replace(temporary, self.path)
        except OSError as error:
            if not self.failing:
                self.log(
                    f"state: {self.path}: not written: {error.strerror}; the previous file stays, to be tried again"
                )
            self.failing = True
            with suppress(OSError):  # the folder is gone, or not writable
                temporary.unlink(missing_ok=True)
            return False
        if self.failing:
            self.log(f"state: {self.path}: written again")
        self.failing = False
        return True
