"""Five keepers of twelve agents as processes under drawn faults: what is lost, doubled, out, and unled.

A prober looks who leads; an operator puts orders to the record; a fault comes every one to three seconds,
one at a time.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from collections import Counter
from random import Random
from typing import Any

from measure.common import keep, options, processor, say
from oakkeel.agent import messages
from oakkeel.disruption.allocator import PermitTimeouts
from oakkeel.fakes.rig import ProcessRig
from oakkeel.fakes.site import FakeSite
from oakkeel.fleet.agent_clients import NoLeaderError
from oakkeel.invariants.logs import audit, events

HOSTS = {f"h{number}": [f"n{number}"] for number in range(1, 13)}
SITES = {host: ("woodbrook", "st-james", "belmont")[number % 3] for number, host in enumerate(HOSTS)}
KEEPERS = ("h1", "h2", "h3", "h4", "h5")
AWAY, FLEET = 1, 3
LATE = PermitTimeouts().expiry + PermitTimeouts().agent_silence + 2_000_000_000


class Play:
    def __init__(self, rig: ProcessRig, seed: int) -> None:
        self.rig, self.random = rig, Random(seed)
        self.faults: Counter[str] = Counter()
        self.taken: dict[str, float] = {}  # seconds until it was agreed, by order
        self.quiet: list[float] = []  # the same with nothing wrong
        self.gaps: list[tuple[float, float]] = []  # when nobody led, and for how long
        self.wrong = 0  # faults that go on by now
        self.deaths: list[float] = []
        self.over = False

    # Faults.

    async def faults_come(self, until: float) -> None:
        kinds = (
            "kill",
            "kill the leader",
            "stop",
            "stop the leader",
            "cut",
            "one way",
            "loss",
            "delay",
            "double",
            "full disk",
            "lose the file",
            "kill a node",
            "clock",
        )
        while time.monotonic() < until:
            kind = self.random.choice(kinds)
            self.faults[kind] += 1
            self.wrong += 1
            try:
                await self.fault(kind)
            finally:
                self.wrong -= 1
            await asyncio.sleep(self.random.uniform(0.3, 1.5))

    async def fault(self, kind: str) -> None:
        rig, lasts = self.rig, self.random.uniform(0.2, 2.5)
        host = self.random.choice(KEEPERS if self.random.random() < 0.7 else list(HOSTS))
        if kind.endswith("the leader"):
            host = await rig.leader()
        if kind.startswith("kill a"):
            rig.kill_node(self.random.choice([name for names in HOSTS.values() for name in names]))
        elif kind.startswith("kill"):
            if kind.endswith("leader"):
                self.deaths.append(time.monotonic())
            await rig.kill(host)
            await asyncio.sleep(lasts)
            await rig.start(host)
        elif kind.startswith("stop"):
            rig.stop(host)
            await asyncio.sleep(lasts)
            rig.go_on(host)
        elif kind in ("cut", "one way"):
            others = [each for each in HOSTS if each != host]
            if self.random.random() < 0.5:
                rig.cut([host], others, kind == "cut")
            else:
                rig.cut(others, [host], kind == "cut")
            await asyncio.sleep(lasts)
            rig.heal()
        elif kind in ("loss", "delay", "double"):
            amount = {"loss": 0.3, "delay": 0.15, "double": 0.5}[kind]
            rig.spoil(**{kind: self.random.uniform(0.05, amount)})
            await asyncio.sleep(lasts)
            rig.heal()
        elif kind == "full disk":
            rig.mark(host, "full")
            await asyncio.sleep(lasts)
            rig.unmark(host, "full")
        elif kind == "lose the file":
            await rig.kill(host)
            rig.lose(host, "record.db", *(["agent.db"] if self.random.random() < 0.5 else []))
            await rig.start(host)
            await self.whole_again(host)
        elif kind == "clock":
            rig.mark(host, "clock", str(self.random.uniform(-7200, 7200)))

    async def whole_again(self, host: str) -> None:
        """Until it votes again: a majority whose files are gone has no record."""
        if host not in KEEPERS:
            return

        async def votes() -> bool:
            told = await self.rig.records()
            leads = next((each for each in told.values() if each.is_leader), None)
            return bool(
                leads
                and host in told
                and told[host].epoch == leads.epoch
                and any(
                    each.name == host
                    and each.is_voter
                    and each.lag < 3
                    and each.incarnation == self.life(told, host)
                    for each in leads.members
                )
            )

        await self.rig.until(f"{host} votes again", votes)

    @staticmethod
    def life(told: dict[str, messages.RaftStatus], host: str) -> str:
        return next((each.incarnation for each in told[host].members if each.name == host), "")

    # Looking on.

    async def look(self) -> None:
        began = 0.0
        while not self.over:
            answers, _ = await self.rig.asker.request_each(
                {host: messages.RaftStatusRequest() for host in KEEPERS}, 200_000_000
            )
            now = time.monotonic()
            if any(isinstance(each, messages.RaftStatus) and each.is_leader for each in answers.values()):
                if began:
                    self.gaps.append((began, now - began))
                began = 0.0
            else:
                began = began or now
            await asyncio.sleep(0.03)

    async def operate(self) -> None:
        names = [name for each in HOSTS.values() for name in each]
        count = 0
        while not self.over:
            count += 1
            ident, quiet = f"o{count}", not self.wrong
            began = time.monotonic()
            chosen = self.random.sample(names, self.random.randint(1, 3))
            generations: dict[str, int] = {}
            while not self.over:
                try:
                    generations = generations or await self.rig.generations()
                    if any(name not in generations for name in chosen):
                        generations = {}
                        await asyncio.sleep(0.1)
                        continue
                    sent = time.monotonic()
                    answer = await self.rig.order(ident, "restart", chosen, 15, generations=generations)
                    if isinstance(answer, messages.FleetOrderStatus) and any(
                        part.state != "refused" for part in answer.tasks
                    ):
                        self.taken[ident] = time.monotonic() - began
                        if quiet and not self.wrong:
                            self.quiet.append(time.monotonic() - sent)
                    break
                except NoLeaderError:
                    continue
            await asyncio.sleep(self.random.uniform(0.2, 0.8))


async def measure(seconds: float, seed: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        site = FakeSite(
            folder,
            HOSTS,
            AWAY,
            seed,
            sites=SITES,
            keepers=KEEPERS,
            fleet_away=FLEET,
            supervision='<supervision silent="500ms" start="5s" drain="3s" backoff="200ms"/>',
        )
        rig = ProcessRig(site, seed)
        try:
            await rig.open()
            await rig.leader()
            took = await rig.all_serve()
            say(f"twelve agents, five of them keepers; all serve {took:.1f} s after there was a leader")
            play = Play(rig, seed)
            tasks = [asyncio.ensure_future(play.look()), asyncio.ensure_future(play.operate())]
            await play.faults_come(time.monotonic() + seconds)
            play.over = True
            await asyncio.gather(*tasks)
            rig.heal()
            await rig.leader()
            await rig.all_serve(wait=60)
            lost = []
            known = {order.order_id for order in (await rig.state_of()).orders}
            for ident in play.taken:
                if ident not in known:
                    try:
                        await rig.state_of(ident)
                    except AssertionError:
                        lost.append(ident)
            elections = sum(kind == "leader_elected" for _, kind, _ in events(folder, HOSTS))
        finally:
            await rig.close()
        groups = {"fleet": (FLEET, [name for names in HOSTS.values() for name in names])}
        for name in set(SITES.values()):
            groups[name] = (
                AWAY,
                [each for host, names in HOSTS.items() if SITES[host] == name for each in names],
            )
        judge = audit(folder, HOSTS, groups, LATE)
        doubled = doubled_leaves(folder)
    return {
        "machine": processor(),
        "seconds": seconds,
        "faults": dict(play.faults),
        "elections": elections,
        "taken": len(play.taken),
        "lost": lost,
        "doubled": doubled,
        "breaches": judge.finish(0),
        "most_out": judge.most_out["fleet"],
        "bound": FLEET,
        "worst_gap_s": max((lasts for _, lasts in play.gaps), default=0.0),
        "after_death_s": [
            lasts for at, lasts in play.gaps if any(0 <= at - death < 0.6 for death in play.deaths)
        ],
        "agreed_s": play.quiet,
    }


def doubled_leaves(folder: str) -> int:
    """Processes that were told twice to leave with no word to stay between."""
    told: set[tuple[str, int]] = set()
    doubled = 0
    for _, kind, facts in events(folder, HOSTS):
        key = facts.get("target", ""), facts.get("generation", 0)
        if kind == "node leave":
            doubled += key in told
            told.add(key)
        elif kind == "node stay":
            told.discard(key)
    return doubled


def main() -> int:
    told = options(__doc__ or "", seconds=150.0, seed=25)
    figures = asyncio.run(measure(told.seconds, told.seed))
    keep(told, figures)
    for breach in figures["breaches"]:
        say(breach)
    say(f"{figures['taken']} orders taken; faults {figures['faults']}")
    if figures["agreed_s"]:
        say(
            f"agreed with nothing wrong after {1000 * statistics.median(figures['agreed_s']):.0f} ms in the"
            f" median of {len(figures['agreed_s'])}"
        )
    if figures["after_death_s"]:
        say(
            f"a new leader after a death within {max(figures['after_death_s']):.2f} s at worst of"
            f" {len(figures['after_death_s'])}"
        )
    say(
        f"agreement: {sum(figures['faults'].values())} faults, {figures['elections']} elections,"
        f" {len(figures['lost'])} lost, {figures['doubled']} doubled, at most {figures['most_out']} of"
        f" {figures['bound']} out, no leader for {figures['worst_gap_s']:.2f} s at worst"
    )
    return 1 if figures["lost"] or figures["doubled"] or figures["breaches"] else 0


if __name__ == "__main__":
    sys.exit(main())
