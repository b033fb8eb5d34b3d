"""Twelve real nodes and two services below replaced under load, with nodes and the driver killed on the way.

Three hosts at two sites with six agents, three of them keepers; what drives the release is killed five times
and three nodes once each. Beside it: the same by batches with no gate, as fast as the bounds allow.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
import tempfile
import time
from collections import Counter
from random import Random
from typing import Any

import oakkeel
from measure.common import SECOND, keep, options, processor, say
from oakkeel.agent import messages
from oakkeel.agent.artifacts import version_of
from oakkeel.fakes.catalogue import Catalogue
from oakkeel.fakes.dispatcher import Address, Dispatcher, SentRequest
from oakkeel.fakes.rig import ProcessRig
from oakkeel.fakes.site import NODE_SETTINGS, FakeSite, free_port
from oakkeel.fleet.agent_clients import NoLeaderError
from oakkeel.rollout.commands import RolloutPolicy, VersionSpec

HOSTS = {f"h{number}": [f"n{2 * number - 1}", f"n{2 * number}"] for number in range(1, 7)}
SITES = {host: ("woodbrook", "belmont")[number % 2] for number, host in enumerate(HOSTS)}
KEEPERS = ("h1", "h2", "h3")
NAMES = [name for names in HOSTS.values() for name in names]
AWAY, FLEET = 4, 7  # a service takes six nodes with it
GROUPS: list[dict[str, Any]] = NODE_SETTINGS["classes"]  # type: ignore[assignment]
BENEFIT = {str(group["name"]): float(group.get("worth", 1.0)) for group in GROUPS}
HANGING = {name: ("db1", "db2")[number % 2] for number, name in enumerate(NAMES)}


class Weighed(Dispatcher):
    """Counts the benefit that was asked for and that came, by endpoint group."""

    asked = came = 0.0

    def going(self, ident: str, sent: SentRequest) -> None:
        self.asked += BENEFIT[sent.group]

    def ended(self, sent: SentRequest, word: str, fields: bytes) -> None:
        super().ended(sent, word, fields)
        if word == "ok":
            self.came += BENEFIT[sent.group]


class Load:
    """Dispatchers, and what came of what they sent, second by second."""

    def __init__(self, rig: ProcessRig, rate: float, seed: int) -> None:
        self.rig = rig
        self.addresses: dict[str, Address] = {}
        self.dispatchers = [Weighed(number, self.open_ones, rate / 2, seed + number) for number in (1, 2)]
        self.following: asyncio.Task | None = None

    def open_ones(self) -> dict[str, Address]:
        listed = self.rig.site.directory.open_nodes()
        return {name: self.addresses[name] for name in listed if name in self.addresses}

    async def start(self) -> None:
        self.following = asyncio.ensure_future(self._follow())
        await asyncio.sleep(0.5)
        for each in self.dispatchers:
            each.start()

    async def _follow(self) -> None:
        while True:
            for name, told in (await self.rig.look()).items():
                if told.report:
                    host, _, port = told.report.address.rpartition(":")
                    self.addresses[name] = host, int(port)
            await asyncio.sleep(0.1)

    @property
    def counts(self) -> Counter[str]:
        return sum((each.counts for each in self.dispatchers), Counter())

    @property
    def benefit(self) -> tuple[float, float]:
        return sum(each.asked for each in self.dispatchers), sum(each.came for each in self.dispatchers)

    def lost_but(self, killed: set[str]) -> int:
        """Without an answer, at nodes that nobody killed."""
        return sum(
            each.by_node[name][word]
            for each in self.dispatchers
            for name in NAMES
            if name not in killed and name in each.by_node
            for word in ("lost", "late")
        )

    async def stop(self) -> None:
        if self.following:
            self.following.cancel()
        for each in self.dispatchers:
            await each.stop()


class Play:
    def __init__(
        self, rig: ProcessRig, services: dict[str, Catalogue], ports: dict[str, int], seed: int
    ) -> None:
        self.rig, self.services, self.ports, self.random = rig, services, ports, Random(seed)
        self.killed: set[str] = set()
        self.stopped_services: list[Catalogue] = []  # replaced, with connections open until the end
        self.driver_kills = 0
        self.most_out, self.most_placed = 0, 0
        self.over = False

    async def ask(self, wish: messages.Request) -> messages.Response:
        while True:
            try:
                return await self.rig.asker.request_leader(wish)
            except NoLeaderError:
                await asyncio.sleep(0.05)

    async def look(self) -> None:
        """What is out, as whoever leads knows it; with a place on it, taken out by us."""
        while not self.over:
            try:
                out = (await self.rig.state_of()).unavailable
                placed = {each.target for each in out if each.fence}
                hanging = {name for name, on in HANGING.items() if on in placed}
                self.most_placed = max(self.most_placed, len(placed & set(NAMES) | hanging))
                known = [each for each in out if each.target in NAMES and each.reasons != ["not known"]]
                self.most_out = max(self.most_out, len(known))
            except (NoLeaderError, AssertionError):
                pass
            await asyncio.sleep(0.03)

    async def release(
        self, ident: str, what: VersionSpec, things: list[str], pace: RolloutPolicy, kills: int, nodes: int
    ) -> messages.ReleaseStatus:
        """Begin it, break things on the way, and follow it to its end."""
        answer = await self.ask(messages.StartReleaseRequest(ident, what, pace, things))
        assert isinstance(answer, messages.ReleaseStatus), answer
        last, due, step_kills = -1, 2, 0
        while True:
            told = await self.ask(messages.ReleaseStatusRequest(ident))
            assert isinstance(told, messages.ReleaseStatus), told
            if told.state in ("done", "undone", "left"):
                return told
            if told.state == "halted":
                say(f"  {ident} is halted: {told.why}; told to go on")
                await self.ask(messages.ControlReleaseRequest(ident, "resume"))
            if told.step > last and told.step >= due and step_kills < kills:
                leader = await self.rig.leader()
                await self.rig.kill(leader)
                step_kills, self.driver_kills, due = step_kills + 1, self.driver_kills + 1, told.step + 1
                await asyncio.sleep(self.random.uniform(0.1, 0.5))
                await self.rig.start(leader)
            if told.batch >= 2 and nodes and self.random.random() < 0.2:
                name = self.random.choice([each for each in NAMES if each not in self.killed])
                self.killed.add(name)
                self.rig.kill_node(name)
                nodes -= 1
            last = told.step
            if what.services:
                await self.replace(told)
            await asyncio.sleep(0.05)

    async def replace(self, told: messages.ReleaseStatus) -> None:
        """As an operator would: what has a place is taken down, and another comes up."""
        for part in told.targets:
            if part.state != "changing" or part.target not in self.services:
                continue
            try:
                out = (await self.rig.state_of()).unavailable
            except (NoLeaderError, AssertionError):
                return
            if not any(each.target == part.target and each.fence for each in out):
                continue
            old = self.services.pop(part.target)
            old.stop_listening()
            self.stopped_services.append(old)
            await asyncio.sleep(1.5)
            self.services[part.target + " new"] = new = Catalogue()
            await new.open(self.ports[part.target])


def program(folder: str, name: str) -> VersionSpec:
    """The program as it is, with one line more: another content, which behaves the same."""
    path = os.path.join(folder, name)
    shutil.copytree(
        os.path.dirname(oakkeel.__file__),
        os.path.join(path, "oakkeel"),
        ignore=shutil.ignore_patterns("__pycache__"),
    )
    with open(os.path.join(path, "oakkeel", "RELEASE"), "w", encoding="ascii") as file:
        file.write(name + "\n")
    return VersionSpec(version_of(path, ""), path)


async def one(rate: float, seed: int, gated: bool) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        ports = {"db1": free_port(), "db2": free_port()}
        services = {name: Catalogue() for name in ports}
        for name, each in services.items():
            await each.open(ports[name])
        below = (
            '<below><kind name="db" away="1">'
            + "".join(
                f'<service name="{name}" address="127.0.0.1:{port}" host="h{number}"/>'
                for number, (name, port) in enumerate(ports.items(), 5)
            )
            + "</kind></below>"
        )
        site = FakeSite(
            folder,
            HOSTS,
            AWAY,
            seed,
            sites=SITES,
            keepers=KEEPERS,
            fleet_away=FLEET,
            below=below,
            hanging=HANGING,
            supervision='<supervision silent="2s" start="10s" drain="6s" backoff="200ms"/>',
        )
        site.catalogues = {name: f"127.0.0.1:{ports[on]}" for name, on in HANGING.items()}
        rig = ProcessRig(site, seed, real=True)
        play = Play(rig, dict(services), ports, seed)
        try:
            await rig.open()
            await rig.leader()
            await rig.all_serve()
            load = Load(rig, rate, seed)
            await load.start()
            looking = asyncio.ensure_future(play.look())
            await asyncio.sleep(3.0)
            before, benefit = load.counts, load.benefit
            began = time.monotonic()
            pace = RolloutPolicy(
                soak=2 * SECOND,
                batch_timeout=30 * SECOND,
                verdict_timeout=40 * SECOND,
                margin=0.10,
                gated=gated,
                max_load=0.95,
            )
            first = await play.release("nodes", program(folder, "v2"), NAMES, pace, 3, 3)
            second = await play.release(
                "below",
                VersionSpec("db-2", services=True),
                ["db1", "db2"],
                RolloutPolicy(soak=SECOND, batch_timeout=30 * SECOND, gated=False),
                2,
                0,
            )
            took = time.monotonic() - began
            counts = load.counts - before
            asked, came = (now - then for now, then in zip(load.benefit, benefit, strict=True))
            lost = load.lost_but(play.killed)
            await rig.all_serve(wait=60)
            play.over = True
            await looking
            await load.stop()
            told = await rig.look()
            runs = {name: each.report.version if each.report else "" for name, each in told.items()}
        finally:
            await rig.close()
            for each in (*play.services.values(), *play.stopped_services):
                await each.close()
    asked += counts["unsent"] * sum(BENEFIT.values()) / len(BENEFIT)
    return {
        "gated": gated,
        "seconds": took,
        "ends": [first.state, second.state],
        "counts": dict(counts),
        "lost": lost,
        "kept": came / max(1.0, asked),
        "most_placed": play.most_placed,
        "most_out": play.most_out,
        "driver_kills": play.driver_kills,
        "killed": sorted(play.killed),
        "batches": [first.batch, second.batch],
        "new": sum(version == first.version.version for version in runs.values()),
    }


def main() -> int:
    told = options(__doc__ or "", rate=120.0, seed=26)
    figures = [asyncio.run(one(told.rate, told.seed, gated)) for gated in (True, False)]
    keep(told, {"machine": processor(), "runs": figures})
    for each in figures:
        how = "with gates" if each["gated"] else "batches alone"
        say(
            f"{how}: {each['ends']} in {each['seconds']:.1f} s,"
            f" batches {each['batches']}, {each['new']} of 12 run the new, driver killed"
            f" {each['driver_kills']} times, {', '.join(each['killed'])} killed, out with places"
            f" {each['most_placed']}, out in all {each['most_out']}, {each['counts']}, benefit kept"
            f" {100 * each['kept']:.1f} %"
        )
    first = figures[0]
    good = first["lost"] == 0 and first["new"] == 12 and first["ends"] == ["done", "done"]
    say(
        f"rollout: done in {first['seconds']:.1f} s, at most {first['most_placed']} of {FLEET} out,"
        f" {first['lost']} lost, benefit kept {100 * first['kept']:.1f} %"
    )
    return 0 if good and first["most_placed"] <= FLEET else 1


if __name__ == "__main__":
    sys.exit(main())
