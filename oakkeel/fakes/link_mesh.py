"""The faulty links between all agents, with faults on all or some of them."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator
from random import Random

from oakkeel.fakes.faulty_link import FaultyLink, LinkDirection


class LinkMesh:
    """A faulty link for each ordered pair of hosts: the first sends requests, the second answers."""

    def __init__(self, ports: dict[str, int], random: Random) -> None:
        """`ports` are the listening ports of the agents, by host."""
        self._ports = ports
        self._random = random
        self.links: dict[tuple[str, str], FaultyLink] = {}

    async def open(self, source: str) -> dict[str, int]:
        """Open the links of a host, and return the port of the link to each other host."""
        ports = {}
        for host, port in self._ports.items():
            if host == source:
                continue
            seed = self._random.getrandbits(32)
            link = FaultyLink(("127.0.0.1", port), LinkDirection(), LinkDirection(), seed)
            self.links[source, host] = link
            ports[host] = await link.open()
        return ports

    async def close(self) -> None:
        """Close all links and wait for their tasks."""
        for link in self.links.values():
            await link.close()

    def partition(self, sources: Iterable[str], destinations: Iterable[str], both: bool = True) -> None:
        """Lose all messages from `sources` to `destinations`, and with `both` also those in return."""
        sources = list(sources)
        destinations = list(destinations)
        directions = self._between(sources, destinations)
        if both:
            directions += self._between(destinations, sources)
        for direction in directions:
            direction.blocked = True

    def set_faults(self, **faults: float | bool) -> None:
        """Set fields of `LinkDirection` on all links, in both directions."""
        for direction in self._directions():
            for name, value in faults.items():
                setattr(direction, name, value)

    def clear_faults(self) -> None:
        """Reset the faults of all links."""
        self.set_faults(**dataclasses.asdict(LinkDirection()))

    def break_connections(self) -> None:
        """Close all open connections of all links."""
        for link in self.links.values():
            link.break_connections()

    def _directions(self) -> Iterator[LinkDirection]:
        for link in self.links.values():
            yield link.request_direction
            yield link.response_direction

    def _between(self, sources: list[str], destinations: list[str]) -> list[LinkDirection]:
        """Return the link directions from `sources` to `destinations`, of requests and of responses."""
        return [
            direction
            for source in sources
            for destination in destinations
            if source != destination
            for direction in (
                self.links[source, destination].request_direction,
                self.links[destination, source].response_direction,
            )
        ]
