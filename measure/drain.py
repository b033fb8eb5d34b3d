"""Drains and cancels at random times under load on real nodes: what is lost, what runs after the grace.

Two hosts with three nodes each, one keeper; dispatchers send all the time, faster now and then.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from collections import Counter
from random import Random
from typing import Any

from measure.common import keep, options, processor, say, spread
from oakkeel.agent import messages
from oakkeel.fakes.dispatcher import Address, Dispatcher
from oakkeel.fakes.rig import ProcessRig
from oakkeel.fakes.site import NODE_SETTINGS, FakeSite
from oakkeel.invariants.logs import events

HOSTS = {"h1": ["n1", "n2", "n3"], "h2": ["n4", "n5", "n6"]}
GRACE = NODE_SETTINGS["obligations"]["drain-grace"]  # type: ignore[index]
SLACK = 0.06  # seconds, from a message at our end to its log line


class Watched(Dispatcher):
    """Writes down when each exchange was sent, by its id."""

    sent_at: dict[bytes, tuple[str, float]]

    def __init__(self, *words: Any, **more: Any) -> None:
        super().__init__(*words, **more)
        self.sent_at = {}
        self.answered_at: dict[str, list[float]] = {}

    def going(self, ident: str, sent: Any) -> None:
        self.sent_at[ident.encode()] = sent.node, sent.at

    def ended(self, sent, word: str, fields: bytes) -> None:
        super().ended(sent, word, fields)
        if word == "ok":
            self.answered_at.setdefault(sent.node, []).append(time.monotonic())


async def one(
    rig: ProcessRig,
    ident: str,
    name: str,
    cancel_after: float | None,
    figures: dict[str, Any],
    dispatcher: Watched,
) -> None:
    answer = await rig.order(ident, "drain", [name], 60)
    assert isinstance(answer, messages.FleetOrderStatus), answer
    if cancel_after is None:
        await rig.ended(ident)
    else:
        await asyncio.sleep(cancel_after)
    before = (await rig.look())[name]
    cancelled = time.monotonic()
    answer = await rig.end_order(ident, True)
    assert isinstance(answer, messages.FleetOrderStatus), answer
    figures["cancels"] += 1
    figures["while draining"] += before.phase == "draining"

    async def works() -> bool:
        return any(at > cancelled for at in dispatcher.answered_at.get(name, ())[-5:])

    took = await rig.until(f"{name} works again", works)
    kind = {"draining": "back_s", "serving": "not_left_s"}.get(before.phase, "anew_s")
    figures[kind].append(took)

    async def free() -> bool:
        return not any(each.order_id == ident for each in (await rig.state_of()).unavailable)

    await rig.until(f"the place on {name} is free", free)


async def measure(drains: int, rate: float, seed: int) -> dict[str, Any]:
    random = Random(seed)
    figures: dict[str, Any] = {
        "cancels": 0,
        "while draining": 0,
        "back_s": [],
        "anew_s": [],
        "not_left_s": [],
    }
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        site = FakeSite(
            folder,
            HOSTS,
            2,
            seed,
            keepers=("h1",),
            fleet_away=2,
            sites={"h1": "woodbrook", "h2": "belmont"},
            supervision='<supervision silent="2s" start="10s" drain="10s" backoff="200ms"/>',
        )
        rig = ProcessRig(site, seed, real=True)
        arrivals: dict[bytes, tuple[str, float]] = {}
        try:
            await rig.open()
            await rig.leader()
            await rig.all_serve()
            addresses: dict[str, Address] = {}

            def open_ones() -> dict[str, Address]:
                return {name: addresses[name] for name in site.directory.open_nodes() if name in addresses}

            async def follow() -> None:
                while True:
                    for name, told in (await rig.look()).items():
                        if told.report:
                            host, _, port = told.report.address.rpartition(":")
                            addresses[name] = host, int(port)
                    await asyncio.sleep(0.1)

            following = asyncio.ensure_future(follow())
            watched = [Watched(number, open_ones, rate / 2, seed + number) for number in (1, 2)]
            for each in watched:
                each.start()
            await asyncio.sleep(1.0)
            names = [name for each in HOSTS.values() for name in each]

            async def lane(place: int) -> None:
                mine = names[place::2]
                for number in range(place, drains, 2):
                    for each in watched:
                        each.rate = rate * (1.5 if random.random() < 0.2 else 0.5)
                    wait = None if random.random() < 0.2 else random.uniform(0.05, 1.2)
                    await one(rig, f"d{number}", random.choice(mine), wait, figures, watched[0])
                    if number % 20 < 2:
                        say(f"  {number} drains, {figures['while draining']} cancelled while draining")

            await asyncio.gather(lane(0), lane(1))
            following.cancel()
            for each in watched:
                await each.stop()
            counts: Counter[str] = sum((each.counts for each in watched), Counter())
            runs = {
                ident: count for engine in site.engines.values() for ident, count in engine.started.items()
            }
            for engine_name, engine in site.engines.items():
                for ident, at in engine.begun.items():
                    arrivals[ident] = engine_name, at
        finally:
            await rig.close()
        late = after_grace(folder, arrivals, watched)
    figures |= {"sent_late": max(each.latest for each in watched)}
    figures |= {
        "machine": processor(),
        "drains": drains,
        "counts": dict(counts),
        "lost": counts["lost"] + counts["late"],
        "doubled": sum(count > 1 for count in runs.values()),
        "after_grace": late,
    }
    return figures


def after_grace(folder: str, arrivals: dict[bytes, tuple[str, float]], watched: list[Watched]) -> int:
    """Runs of what was sent more than the grace after the notice, while the drain stood."""
    stands: dict[str, list[list[float]]] = {}
    for at, kind, facts in events(folder, HOSTS):
        if kind == "drain_requested":
            stands.setdefault(facts["target"], []).append([at / 1e9 + GRACE / 1e9, float("inf")])
        elif kind in ("drain_cancel_requested", "instance_exited") and facts.get("target") in stands:
            stands[facts["target"]][-1][1] = min(stands[facts["target"]][-1][1], at / 1e9)
    sent = {ident: at for each in watched for ident, (_, at) in each.sent_at.items()}
    return sum(
        any(begin + SLACK < sent[ident] < end - SLACK for begin, end in stands.get(name, ()))
        for ident, (name, _) in arrivals.items()
        if ident in sent
    )


def main() -> int:
    told = options(__doc__ or "", drains=200, rate=120.0, seed=25)
    figures = asyncio.run(measure(told.drains, told.rate, told.seed))
    keep(told, figures)
    say(f"{figures['counts']}; {figures['doubled']} ran twice")
    if figures["anew_s"]:
        say(f"started anew after the stop: works after {spread(figures['anew_s'])} s")
    back = 1000 * max(figures["back_s"], default=0.0)
    if figures["back_s"]:
        say(f"taken back while draining: works after {spread(figures['back_s'])} s")
    say(
        f"drain: {figures['drains']} drains, {figures['cancels']} cancels, {figures['lost']} lost,"
        f" {figures['after_grace']} run after the grace, back in service after {back:.0f} ms"
    )
    return 1 if figures["lost"] or figures["after_grace"] or figures["doubled"] else 0


if __name__ == "__main__":
    sys.exit(main())
