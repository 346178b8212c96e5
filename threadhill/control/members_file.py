"""The members' file: the members of a replicated control plane, and the file of their secret. TOML, checked by
pydantic."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from threadhill.files import check_private
from threadhill.ownership.lease import Timing
from threadhill.ownership.register import MAX_MEMBERS
from threadhill.settings import Malformed, address

MIN_SECRET_LENGTH = 32
Name = Annotated[str, Field(pattern=r"^[a-z0-9-]{1,32}$")]


class Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


class Member(Strict):
    """One member's addresses: for Raft, for the API, and for the proxies' feed."""

    name: Name
    agree: str
    api: str
    feed: str

    @model_validator(mode="after")
    def check_addresses(self) -> Member:
        for key in ("agree", "api", "feed"):
            try:
                host, _ = address(getattr(self, key), key)
            except Malformed as error:
                raise ValueError(str(error)) from None
            if not host.startswith("127.") and host != "::1":
                raise ValueError(f"{key}: only loopback addresses, since there is no TLS: use 127.0.0.1")
        return self

    @property
    def addresses(self) -> dict[str, str]:
        return {"agree": self.agree, "api": self.api, "feed": self.feed}


class MembersFile(Strict):
    """The whole file."""

    secret_file: str
    lease_ms: Annotated[int, Field(ge=500, le=60_000)] = 1_500
    members: Annotated[list[Member], Field(min_length=1, max_length=MAX_MEMBERS)]

    @model_validator(mode="after")
    def check_distinct(self) -> MembersFile:
        seen: set[str] = set()
        for member in self.members:
            for value in (member.name, *member.addresses.values()):
                if value in seen:
                    raise ValueError(f"{value} appears twice: names and addresses must be unique")
                seen.add(value)
        return self

    @property
    def timing(self) -> Timing:
        return Timing(lease=self.lease_ms / 1e3)


def read(path: Path) -> tuple[MembersFile, str]:
    """Read the file and the secret. Raises Malformed with the place of the fault."""
    try:
        text = path.read_text()
        raw = tomllib.loads(text)
        file = MembersFile.model_validate(raw)
    except OSError as error:
        raise Malformed(f"{path}: {error.strerror}") from None
    except tomllib.TOMLDecodeError as error:
        raise Malformed(f"{path}: {error}") from None
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        line = next(
            (n for n, row in enumerate(text.splitlines(), 1) if str(first["loc"][-1:] and first["loc"][-1]) in row), 1
        )
        raise Malformed(f"{path}:{line}: {place or 'the file'}: {first['msg'].removeprefix('Value error, ')}") from None
    secret_path = path.parent / file.secret_file
    try:
        check_private(secret_path)
        secret = secret_path.read_text().strip()
    except OSError as error:
        raise Malformed(f"{secret_path}: {error.strerror}: make one with `openssl rand -hex 32`") from None
    if len(secret) < MIN_SECRET_LENGTH:
        raise Malformed(
            f"{secret_path}: has under {MIN_SECRET_LENGTH} characters: make one with `openssl rand -hex 32`"
        )
    return file, secret
