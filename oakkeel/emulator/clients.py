"""Dispatchers: exchanges come by chance, whatever becomes of them; each is tried on some node or more."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from random import Random

from oakkeel.admission.types import NodeLimits, Request
from oakkeel.emulator.clock import SECOND, Clock
from oakkeel.emulator.invariants import RuleAudit
from oakkeel.emulator.nodes import MS, SimulatedNode


class BalancingPolicy(Enum):
    """How a dispatcher chooses among the nodes that it believes to be good."""

    ROUND = "round"
    LEAST = "least"  # fewest of its own open
    SUBJECT = "subject"  # by what the exchange is about
    FASTEST = "fastest"  # the shortest mean answer of late


@dataclass(slots=True, frozen=True)
class ClientBehavior:
    """How a dispatcher treats its callers and nodes. Times in nanoseconds."""

    way: BalancingPolicy = BalancingPolicy.ROUND
    tries: int = 3
    patience: int = 2 * SECOND  # of a try, in all
    hasty: int = 0  # without an answer for so long, another node is tried and the first told so; 0: never
    heeds: bool = True  # stays away from a node that says so
    delay: int = MS  # one way, in the mean
    loss: float = 0.0  # of exchanges that never arrive


class NodeView:
    """What a dispatcher knows of one node."""

    __slots__ = ("away_until", "mean", "node", "open")

    def __init__(self, node: SimulatedNode) -> None:
        self.node, self.open, self.away_until, self.mean = node, 0, 0, 0.0


class ClientRequest:
    """One exchange with all its tries."""

    __slots__ = ("begun", "group", "name", "over", "size", "subject", "tries")

    def __init__(self, name: str, group: int, begun: int, subject: int, size: float) -> None:
        self.name, self.group, self.begun, self.subject, self.size = name, group, begun, subject, size
        self.tries, self.over = 0, False


class Dispatcher:
    def __init__(
        self,
        number: int,
        clock: Clock,
        limits: NodeLimits,
        sizes: list[float],
        manners: ClientBehavior,
        audit: RuleAudit,
        seed: int,
    ) -> None:
        """`sizes`: nanoseconds of a core that an exchange of each group takes, in the mean."""
        self.number, self.clock, self.limits, self.sizes = number, clock, limits, sizes
        self.manners, self.audit, self.random = manners, audit, Random(seed)
        self.links: list[NodeView] = []
        self.rate, self.turn, self.made, self.sent = 0.0, 0, 0, 0
        self.counts: Counter[str] = Counter()
        self.benefit = 0.0
        self.latencies: list[int] = []

    def list(self, nodes: list[SimulatedNode]) -> None:
        """Those that the directory names by now."""
        known = {link.node: link for link in self.links}
        self.links = [known.get(node) or NodeView(node) for node in nodes]

    def start(self, rate: float) -> None:
        """Exchanges a second, from now on."""
        idle, self.rate = self.rate <= 0, rate
        if idle and rate > 0:
            self._later()

    def _later(self) -> None:
        if self.rate > 0:
            self.clock.after(int(self.random.expovariate(self.rate) * SECOND), self._first)

    def _first(self) -> None:
        self._later()
        self.made += 1
        group = self.random.randrange(len(self.sizes))
        size = self.sizes[group] * (0.5 + self.random.random())
        work = ClientRequest(
            f"{self.number}.{self.made}", group, self.clock.now, int(self.random.paretovariate(1.1)), size
        )
        self.counts["asked"] += 1
        self._try(work)

    def _choose(self, work: ClientRequest) -> NodeView | None:
        way = self.manners.way
        if way is BalancingPolicy.ROUND:  # no look at all of a large fleet
            for _ in self.links:
                self.turn += 1
                link = self.links[self.turn % len(self.links)]
                if self._good(link):
                    return link
            return None
        links = [link for link in self.links if self._good(link)]
        if not links:
            return None
        if way is BalancingPolicy.SUBJECT:
            return links[(work.subject * 2654435761 + work.tries) % len(links)]
        if way is BalancingPolicy.LEAST:
            return min(links, key=lambda link: (link.open, self.random.random()))
        if way is BalancingPolicy.FASTEST:
            return min(links, key=lambda link: (link.mean, self.random.random()))
        raise ValueError(f"no way of choosing: {way}")

    def _good(self, link: NodeView) -> bool:
        return link.node.healthy and not (self.manners.heeds and link.away_until > self.clock.now)

    def _try(self, work: ClientRequest) -> None:
        link = self._choose(work)
        if link is None:
            return self._end(work, "unsent")
        manners, now = self.manners, self.clock.now
        work.tries += 1
        self.sent += 1
        ident = self.number * 100_000_000 + self.sent
        group = self.limits.request_classes[work.group]
        request = Request(group, None, self.number, 25.0, work.tries > 1, manners.patience, 0, False, False)
        due = now + min(manners.patience, group.client_timeout)
        self.audit.sent(
            ident, now, due + 2 * manners.delay * 8, group.at_most_once, work.name, link.node.name
        )
        link.open += 1
        state = {"over": False}

        def answered(word: str, retry_after: int) -> None:
            self.audit.answered(ident, self.clock.now, word)
            self.clock.after(self._delay(), heard, word, retry_after)

        def heard(word: str, retry_after: int) -> None:
            if state["over"]:
                return None
            state["over"] = True
            link.open -= 1
            took = self.clock.now - now
            link.mean += 0.2 * (took - link.mean)
            if word == "completed":
                return self._end(work, "completed")
            self.counts[word] += 1
            if retry_after:
                link.away_until = self.clock.now + retry_after
            self._again(work, group.at_most_once and word != "denied")

        def silent() -> None:
            """No answer in the time that a try has here."""
            if state["over"]:
                return
            state["over"] = True
            link.open -= 1
            link.mean += 0.2 * (self.clock.now - now - link.mean)
            self.audit.excused(ident, self.clock.now)  # its caller is gone from here on
            self.clock.after(self._delay(), link.node.gone, request)
            self._again(work, group.at_most_once)

        if self.random.random() < manners.loss or not link.node.alive:
            self.audit.excused(ident, now)
        else:
            self.clock.after(self._delay(), link.node.receive, ident, request, work.size, answered)
        wait = manners.hasty or manners.patience + 2 * manners.delay * 8 + 100 * MS
        self.clock.after(wait, silent)

    def _again(self, work: ClientRequest, may_have_run: bool) -> None:
        """Another try, where it does no harm and is in time."""
        if may_have_run or work.tries >= self.manners.tries:
            return self._end(work, "given up")
        if self.clock.now - work.begun >= self.manners.patience:
            return self._end(work, "given up")
        self._try(work)

    def _end(self, work: ClientRequest, how: str) -> None:
        if work.over:
            return
        work.over = True
        self.counts[how] += 1
        if how == "completed":
            group, took = self.limits.request_classes[work.group], self.clock.now - work.begun
            self.latencies.append(took)
            self.benefit += (
                group.priority_weight
                if took <= group.latency_objective
                else group.priority_weight * group.late_weight
            )

    def _delay(self) -> int:
        return int(self.random.expovariate(1.0) * self.manners.delay)
