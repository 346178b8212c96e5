"""The file of keys: replaced atomically, readable only by its owner, and polled by the running proxy."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

from threadhill.files import check_private, file_version, replace_private
from threadhill.settings import Malformed
from threadhill.tenancy.keys import MAX_KEYS, Key, read_key

MAX_FILE_BYTES = 8 << 20  # a key takes some 300 bytes


def read(path: Path) -> dict[str, Key]:
    """Read all keys, by id. Malformed says what is wrong with the file and what to do."""
    check_private(path, MAX_FILE_BYTES)
    try:
        raw = json.loads(path.read_text())
        if not isinstance(raw, dict) or not isinstance(raw.get("keys"), list) or len(raw["keys"]) > MAX_KEYS:
            raise ValueError(f"it does not hold a list of at most {MAX_KEYS} keys")
        keys = [read_key(item) for item in raw["keys"]]
    except ValueError as error:
        raise Malformed(
            f"{path}: not a file of keys: {str(error)[:160]}; restore a copy of it, or create a new one "
            "with `threadhill key create`"
        ) from None
    return {key.id: key for key in keys}


def write(path: Path, keys: dict[str, Key]) -> None:
    """Replace the file atomically, synced to disk and readable only by its owner."""
    if len(keys) > MAX_KEYS:
        raise Malformed(f"{path}: has more than {MAX_KEYS} keys: remove revoked ones")
    document = {"keys": [key.to_document() for _, key in sorted(keys.items())]}
    replace_private(path, json.dumps(document, indent=1))


class KeyFile:
    """The keys in use. A version of the file that is not valid is logged once, and the keys stay as they are."""

    def __init__(self, path: Path, log: Callable[[str], None]) -> None:
        self.path, self.log = path, log
        self._version = file_version(path)
        self.keys = read(path)

    def reload_if_changed(self) -> bool:
        """Read the file again if it has changed; return whether its keys were loaded."""
        version = file_version(self.path)
        if version == self._version:
            return False
        self._version = version
        try:
            self.keys = read(self.path)
        except (Malformed, OSError) as error:
            self.log(f"keys: {error}; the keys loaded before stay in use")
            return False
        return True
