"""Parses domain names, for the DNS front and the documents of the admin API."""

from __future__ import annotations

MAX_NAME_BYTES = 255  # in wire format (RFC 1035, section 3.1)
MAX_LABEL_BYTES = 63
SERVERS_LABEL = "box"  # the label above servers' own names; no tenant can have it as its name


def labels_of(text: str) -> tuple[str, ...]:
    """The labels of a domain name, in lower case. Raises ValueError if it is not a valid name."""
    labels = tuple(text.rstrip(".").lower().split("."))
    if not all(1 <= len(label.encode("ascii")) <= MAX_LABEL_BYTES for label in labels):
        raise ValueError("a label has 1 to 63 bytes")
    if sum(len(label) + 1 for label in labels) + 1 > MAX_NAME_BYTES:
        raise ValueError("a name has 255 bytes at most")
    return labels
