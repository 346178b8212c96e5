"""Domain names as text, as far as both the DNS front and the administration's documents read them."""

from __future__ import annotations

MAX_NAME_BYTES = 255  # bytes of a name on the wire (RFC 1035, section 3.1)
MAX_LABEL_BYTES = 63
SERVERS_LABEL = "box"  # the label above servers' own names, so no tenant's name


def labels_of(text: str) -> tuple[str, ...]:
    """A written name as labels in lower case; ValueError where it is none."""
    labels = tuple(text.rstrip(".").lower().split("."))
    if not all(1 <= len(label.encode("ascii")) <= MAX_LABEL_BYTES for label in labels):
        raise ValueError("a label has 1 to 63 bytes")
    if sum(len(label) + 1 for label in labels) + 1 > MAX_NAME_BYTES:
        raise ValueError("a name has 255 bytes at most")
    return labels
