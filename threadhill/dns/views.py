"""Views: which node's servers a query is answered with, by the network of its client, longest prefix first.

A resolver that tells a client subnet (RFC 7871) is answered for that subnet; one that tells none, for its own address.
The scope of the answer is the length of the prefix that chose it, so that a resolver gives it to that network and no
wider; where no view holds, the answer holds for the subnet told and no more. A node whose servers all drain falls to
the next one that its view allows, in the file's order. Decisions only: no I/O.
"""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


@dataclass(frozen=True, slots=True)
class View:
    """Clients of these networks are sent to this node, and where it has nothing, to the next of `then`."""

    node: str
    networks: tuple[str, ...]
    then: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Choice:
    """The nodes to try in order, and the scope that the answer holds for."""

    nodes: tuple[str, ...]
    scope: int


class Views:
    """The operator's table, looked up by prefix length from the longest down: at most 33 or 129 looks."""

    def __init__(self, views: list[View], home: str) -> None:
        self.home = home  # this proxy's own node: for who falls in no view
        self.tables: dict[int, dict[int, dict[Network, View]]] = {4: {}, 6: {}}  # family -> length -> network -> view
        for view in views:
            for text in view.networks:
                network = ipaddress.ip_network(text, strict=False)
                by_length = self.tables[network.version].setdefault(network.prefixlen, {})
                if network in by_length:
                    raise ValueError(f"{network} stands in two views ({by_length[network].node}, {view.node})")
                by_length[network] = view
        self.lengths = {family: sorted(table, reverse=True) for family, table in self.tables.items()}
        self.nodes = {view.node for view in views} | {then for view in views for then in view.then}

    def choose(self, address: str, told: int | None = None) -> Choice:
        """For a client at `address`; `told`: the bits of it that the resolver told, None where it told no subnet."""
        if not self.nodes:  # no views: every client gets the same, and the answer holds for all
            return Choice((self.home,), 0)
        try:
            found = ipaddress.ip_address(address)
        except ValueError:
            return Choice((self.home,), 0)
        bits = found.max_prefixlen if told is None else told
        # Views inside the part that was told would answer some of its clients otherwise: the answer holds for no
        # network wider than theirs.
        finer = next(
            (length for length in self.lengths[found.version] if length > bits and self._inside(found, bits, length)),
            None,
        )
        for length in self.lengths[found.version]:
            if length > bits:
                continue  # what is not told can't choose
            view = self.tables[found.version][length].get(ipaddress.ip_network(f"{found}/{length}", strict=False))
            if view is not None:
                nodes = tuple(dict.fromkeys((view.node, *view.then)))
                return Choice(nodes, finer or length)
        return Choice((self.home,), finer or (bits if told is not None else 0))

    def _inside(self, found: ipaddress.IPv4Address | ipaddress.IPv6Address, bits: int, length: int) -> bool:
        told = ipaddress.ip_network(f"{found}/{bits}", strict=False)
        return any(network.subnet_of(told) for network in self.tables[found.version][length])  # type: ignore[arg-type]
