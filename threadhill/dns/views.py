"""Views choose the node whose servers a query is answered with, by longest prefix match on the client's network.

The client's network is the client subnet in the query (RFC 7871), or the resolver's own address. The answer's scope
is the length of the matching prefix, so that a resolver reuses the answer only within that network. If no view matches,
the scope is the client subnet itself. If all servers of a node drain, the view's next node is used, in the order of the
operator's file. No I/O.
"""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


@dataclass(frozen=True, slots=True)
class View:
    """Clients of these networks are sent to this node, or to the first of `fallbacks` that has a server."""

    node: str
    networks: tuple[str, ...]
    fallbacks: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Choice:
    """The nodes to try in order, and the scope prefix length of the answer."""

    nodes: tuple[str, ...]
    scope: int


class Views:
    """The operator's views, looked up from the longest prefix length down: at most 33 or 129 lookups."""

    def __init__(self, views: list[View], home_node: str) -> None:
        self.home_node = home_node  # this proxy's own node, for clients in no view
        # IP version -> prefix length -> network -> view
        self.tables: dict[int, dict[int, dict[Network, View]]] = {4: {}, 6: {}}
        for view in views:
            for text in view.networks:
                network = ipaddress.ip_network(text, strict=False)
                by_length = self.tables[network.version].setdefault(network.prefixlen, {})
                if network in by_length:
                    raise ValueError(f"{network} is in two views ({by_length[network].node}, {view.node})")
                by_length[network] = view
        self.lengths = {family: sorted(table, reverse=True) for family, table in self.tables.items()}
        self.nodes = {view.node for view in views} | {node for view in views for node in view.fallbacks}

    def choose(self, address: str, prefix_length: int | None = None) -> Choice:
        """Choose for a client at `address`. `prefix_length` is that of the query's client subnet, if it has one."""
        if not self.nodes:  # no views: the answer is the same for all clients
            return Choice((self.home_node,), 0)
        try:
            found = ipaddress.ip_address(address)
        except ValueError:
            return Choice((self.home_node,), 0)
        announced_bits = found.max_prefixlen if prefix_length is None else prefix_length
        # Views inside the client subnet give some of its clients another answer, so the scope must be no wider than
        # the prefix of such a view.
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
                continue  # the query does not have that many bits of the address
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
