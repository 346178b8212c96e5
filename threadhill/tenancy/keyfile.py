"""The file of keys: written whole and readable by its owner only, looked at again and again by the running proxy."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from pathlib import Path

from threadhill.files import check_private, file_version
from threadhill.settings import Malformed
from threadhill.tenancy.keys import MOST_KEYS, Key, read_key

MOST = 8 << 20  # bytes of the file: keys have some 300 each


def read(path: Path) -> dict[str, Key]:
    """All keys by id; Malformed says what is wrong with the file and what to do."""
    check_private(path, MOST)
    try:
        raw = json.loads(path.read_text())
        if not isinstance(raw, dict) or not isinstance(raw.get("keys"), list) or len(raw["keys"]) > MOST_KEYS:
            raise ValueError(f"it holds no list of {MOST_KEYS} keys at most")
        keys = [read_key(one) for one in raw["keys"]]
    except ValueError as error:
        raise Malformed(
            f"{path}: not a file of keys: {str(error)[:160]}; put back a copy of it, or make a new one "
            "with `threadhill key create`"
        ) from None
    return {key.id: key for key in keys}


def write(path: Path, keys: dict[str, Key]) -> None:
    if len(keys) > MOST_KEYS:
        raise Malformed(f"{path}: has {MOST_KEYS} keys, the most there may be: remove revoked ones")
    beside = path.with_name(f".{path.name}.new")
    beside.unlink(missing_ok=True)
    with os.fdopen(os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "w") as file:
        json.dump({"keys": [key.document() for _, key in sorted(keys.items())]}, file, indent=1)
        file.flush()
        os.fsync(file.fileno())
    os.replace(beside, path)


class KeyFile:
    """The keys in use. A file that cannot be used is told once and changes nothing."""

    def __init__(self, path: Path, log: Callable[[str], None]) -> None:
        self.path, self.log = path, log
        self._seen = file_version(path)
        self.keys = read(path)

    def look(self) -> bool:
        """Whether other keys were taken."""
        seen = file_version(self.path)
        if seen == self._seen:
            return False
        self._seen = seen
        try:
            self.keys = read(self.path)
        except (Malformed, OSError) as error:
            self.log(f"keys: {error}; the keys taken before stay in use")
            return False
        return True
