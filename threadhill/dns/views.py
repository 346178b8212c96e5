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
    fallbacks: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Choice:
    """The nodes to try in order, and the scope that the answer holds for."""

    nodes: tuple[str, ...]
    scope: int


class Views:
    """The operator's table, looked up by prefix length from the longest down: at most 33 or 129 looks."""

    def __init__(self, views: list[View], home_node: str) -> None:
        self.home_node = home_node  # this proxy's own node: for who falls in no view
        self.tables: dict[int, dict[int, dict[Network, View]]] = {4: {}, 6: {}}  # family -> length -> network -> view
        for view in views:
            for text in view.networks:
                network = ipaddress.ip_network(text, strict=False)
                by_length = self.tables[network.version].setdefault(network.prefixlen, {})
                if network in by_length:
                    raise ValueError(f"{network} stands in two views ({by_length[network].node}, {view.node})")
                by_length[network] = view
        self.lengths = {family: sorted(table, reverse=True) for family, table in self.tables.items()}
        self.nodes = {view.node for view in views} | {node for view in views for node in view.fallbacks}

    def choose(self, address: str, prefix_length: int | None = None) -> Choice:
        """For a client at `address`; `told`: the bits of it that the resolver told, None where it told no subnet."""
        if not self.nodes:  # no views: every client gets the same, and the answer holds for all
            return Choice((self.home_node,), 0)
        try:
            found = ipaddress.ip_address(address)
        except ValueError:
            return Choice((self.home_node,), 0)
        announced_bits = found.max_prefixlen if prefix_length is None else prefix_length
        # Views inside the part that was told would answer some of its clients otherwise: the answer holds for no
        # network wider than theirs.
        longer_prefix = next(
            (
                length
                for length in self.lengths[found.version]
                if length > announced_bits and self._has_subnetwork(found, announced_bits, length)
            ),
            None,
        )
        for length in self.lengths[found.version]:
            if length > announced_bits:
                continue  # what is not told can't choose
            view = self.tables[found.version][length].get(ipaddress.ip_network(f"{found}/{length}", strict=False))
            if view is not None:
                nodes = tuple(dict.fromkeys((view.node, *view.fallbacks)))
                return Choice(nodes, longer_prefix or length)
        return Choice((self.home_node,), longer_prefix or (announced_bits if prefix_length is not None else 0))

    def _has_subnetwork(
        self, found: ipaddress.IPv4Address | ipaddress.IPv6Address, announced_bits: int, length: int
    ) -> bool:
        announced = ipaddress.ip_network(f"{found}/{announced_bits}", strict=False)
        return any(network.subnet_of(announced) for network in self.tables[found.version][length])  # type: ignore[arg-type]
