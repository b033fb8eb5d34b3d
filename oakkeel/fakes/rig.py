"""Many processes on loopback: agents with their nodes, a faulty link from each host to each other, faults.

What was done to whom is told in order, with the monotonic time. Only processes that it made are ended, by
their ids; nodes by the pid that they wrote down themselves while they hold their lock.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from oakkeel.agent import messages
from oakkeel.agent.processes import Processes
from oakkeel.fakes.faulty_link import FaultyLink, LinkDirection
from oakkeel.fakes.site import FakeSite
from oakkeel.fleet.agent_clients import AgentClients, NoLeaderError
from oakkeel.settings.fleet import read_fleet
from oakkeel.settings.keys import read_operator_key

WAIT = 30.0  # seconds, for what must come


@dataclass(slots=True)
class Backup:
    """A host's record as it was."""

    folder: str
    at: int = field(default_factory=time.monotonic_ns)


class ProcessRig:
    def __init__(self, site: FakeSite, seed: int = 1, real: bool = False) -> None:
        """`real`: with real nodes, and engines, catalogue and directory round them."""
        self.site, self.real = site, real
        self.random = Random(seed)
        self.agents: dict[str, asyncio.subprocess.Process] = {}
        self.links: dict[tuple[str, str], FaultyLink] = {}
        self.said: list[tuple[int, str]] = []
        self.stopped: set[str] = set()

    def say(self, text: str) -> None:
        self.said.append((time.monotonic_ns(), text))

    # Start and end.

    async def open(self) -> None:
        site = self.site
        await site.open()
        self.fleet = read_fleet(site.settings)
        self.asker = AgentClients(self.fleet, read_operator_key(self.fleet, "asha"))
        for source in site.hosts:
            ports = {}
            for to in site.hosts:
                if to != source:
                    there, back = LinkDirection(), LinkDirection()
                    link = FaultyLink(("127.0.0.1", site.ports[to]), there, back, self.random.getrandbits(32))
                    self.links[source, to] = link
                    ports[to] = await link.open()
            site.write_to(self.settings(source), ports)
            os.makedirs(self.state(source), exist_ok=True)
            if self.real:
                self.mark(source, "real")
        for host in site.hosts:
            await self.start(host)

    def settings(self, host: str) -> str:
        return os.path.join(self.site.folder, f"fleet-{host}.xml")

    def state(self, host: str) -> str:
        return os.path.join(self.site.folder, host)

    async def start(self, host: str) -> None:
        self.say(f"start {host}")
        with open(os.path.join(self.site.folder, f"{host}.agent.log"), "ab") as log:
            self.agents[host] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "oakkeel.fakes.agent",
                self.settings(host),
                host,
                stderr=log,
                start_new_session=True,
            )

    async def close(self) -> None:
        for host in list(self.agents):
            await self.kill(host)
        for host, names in self.site.hosts.items():
            processes = Processes(self.state(host), lambda process, why: None)
            for name in names:
                if processes.is_running(name) and (process := processes.adopt(name)):
                    processes.signal(process, signal.SIGCONT)
                    processes.signal(process, signal.SIGKILL)
            processes.close()
        for link in self.links.values():
            await link.close()
        await self.site.close()

    # Faults.

    async def kill(self, host: str) -> None:
        """Its agent, by SIGKILL; its nodes go on."""
        if process := self.agents.pop(host, None):
            self.say(f"kill {host}")
            if process.returncode is None:
                process.kill()
            await process.wait()
            self.stopped.discard(host)

    def stop(self, host: str) -> None:
        self.say(f"stop {host}")
        self.agents[host].send_signal(signal.SIGSTOP)
        self.stopped.add(host)

    def go_on(self, host: str) -> None:
        self.say(f"go on {host}")
        self.agents[host].send_signal(signal.SIGCONT)
        self.stopped.discard(host)

    def kill_node(self, name: str) -> None:
        host = next(host for host, names in self.site.hosts.items() if name in names)
        processes = Processes(self.state(host), lambda process, why: None)
        if processes.is_running(name) and (process := processes.adopt(name)):
            self.say(f"kill {name}")
            with open(os.path.join(self.state(host), f"{name}.journal"), "a", encoding="ascii") as file:
                file.write(f"killed {process.generation} {process.pid} {time.monotonic_ns()}\n")
            processes.signal(process, signal.SIGKILL)
        processes.close()

    def script(self, name: str, words: str) -> None:
        host = next(host for host, names in self.site.hosts.items() if name in names)
        with open(os.path.join(self.state(host), f"{name}.script"), "w", encoding="ascii") as file:
            file.write(words)

    def mark(self, host: str, what: str, text: str = "") -> None:
        """Switch on `full` or `clock`."""
        self.say(f"{what} {text} {host}")
        with open(os.path.join(self.state(host), what), "w", encoding="ascii") as file:
            file.write(text)

    def unmark(self, host: str, what: str) -> None:
        self.say(f"no more {what} {host}")
        os.unlink(os.path.join(self.state(host), what))

    def lose(self, host: str, *files: str) -> None:
        """Of an agent that does not run: `record.db`, `agent.db`, or both."""
        self.say(f"lose {' '.join(files)} {host}")
        for name in files:
            for ending in ("", "-wal", "-shm"):
                path = os.path.join(self.state(host), name + ending)
                if os.path.exists(path):
                    os.unlink(path)

    def back_up(self, host: str) -> Backup:
        folder = os.path.join(self.site.folder, f"backup-{host}-{len(self.said)}")
        self.say(f"back up {host}")
        os.makedirs(folder)
        for name in os.listdir(self.state(host)):
            if name.startswith("record.db"):
                shutil.copy(os.path.join(self.state(host), name), folder)
        return Backup(folder)

    def restore(self, host: str, backup: Backup) -> None:
        """Of an agent that does not run."""
        self.lose(host, "record.db")
        self.say(f"restore {host}")
        for name in os.listdir(backup.folder):
            shutil.copy(os.path.join(backup.folder, name), self.state(host))

    def ways(self, sources: Iterable[str], to: Iterable[str]) -> list[LinkDirection]:
        """All that goes from some hosts to others, in whichever link it goes."""
        ends = list(to)
        return [
            way
            for source in sources
            for end in ends
            if source != end
            for way in (self.links[source, end].there, self.links[end, source].back)
        ]

    def cut(self, sources: Iterable[str], to: Iterable[str], both: bool = True) -> None:
        sources, to = list(sources), list(to)
        self.say(f"cut {','.join(sources)} {'-' if both else 'to'} {','.join(to)}")
        for way in self.ways(sources, to) + (self.ways(to, sources) if both else []):
            way.cut = True

    def spoil(self, **faults: float | bool) -> None:
        """All links, as `Way` names it."""
        self.say(f"spoil {faults}")
        for link in self.links.values():
            for way in (link.there, link.back):
                for name, value in faults.items():
                    setattr(way, name, value)

    def break_links(self) -> None:
        """Close every connection that is open now."""
        self.say("break")
        for link in self.links.values():
            link.end()

    def heal(self) -> None:
        self.say("heal")
        for link in self.links.values():
            for way in (link.there, link.back):
                for name, value in (
                    (each, getattr(LinkDirection(), each)) for each in LinkDirection.__slots__
                ):
                    setattr(way, name, value)

    # What is seen.

    async def records(self) -> dict[str, messages.RaftStatus]:
        answers, _ = await self.asker.request_each(
            {host: messages.RaftStatusRequest() for host in self.site.hosts}
        )
        return {host: each for host, each in answers.items() if isinstance(each, messages.RaftStatus)}

    async def leader(self, but: Iterable[str] = (), wait: float = WAIT) -> str:
        """Wait until one leads, other than some."""
        end, but = time.monotonic() + wait, set(but)
        while time.monotonic() < end:
            for host, told in (await self.records()).items():
                if told.is_leader and host not in but:
                    return host
            await asyncio.sleep(0.02)
        raise TimeoutError(f"nobody leads within {wait:g} s: {await self.records()}")

    async def order(
        self,
        ident: str,
        verb: str,
        names: Iterable[str],
        lasts: float = 20.0,
        whole: bool = False,
        generations: dict[str, int] | None = None,
    ) -> messages.Response:
        """For the generations told by now; 0 for services and what nobody tells of. Raises NoLeader."""
        known = generations or await self.generations()
        return await self.asker.request_leader(
            messages.FleetOrderRequest(
                ident, verb, [(name, known.get(name, 0)) for name in names], int(lasts * 1e9), whole
            )
        )

    async def end_order(self, ident: str, back: bool) -> messages.Response:
        return await self.asker.request_leader(messages.EndFleetOrderRequest(ident, back))

    async def look(self) -> dict[str, messages.InstanceStatus]:
        answers, _ = await self.asker.request_each(
            {host: messages.HostStatusRequest() for host in self.site.hosts}
        )
        return {
            each.name: each
            for answer in answers.values()
            if isinstance(answer, messages.HostStatus)
            for each in answer.instances
        }

    async def generations(self) -> dict[str, int]:
        return {name: told.generation for name, told in (await self.look()).items()}

    async def state_of(self, ident: str = "") -> messages.FleetStatus:
        answer = await self.asker.request_leader(messages.FleetStatusRequest(ident))
        assert isinstance(answer, messages.FleetStatus), answer
        return answer

    async def until(self, what: str, done, wait: float = WAIT) -> float:
        """Wait for something that `done`, a coroutine function, tells; returns the seconds that it took."""
        began = time.monotonic()
        while True:
            try:
                if await done():
                    return time.monotonic() - began
            except (NoLeaderError, AssertionError):
                pass
            if time.monotonic() - began > wait:
                raise TimeoutError(f"not within {wait:g} s: {what}")
            await asyncio.sleep(0.03)

    async def all_serve(self, names: Iterable[str] = (), wait: float = WAIT) -> float:
        wanted = set(names) or {name for each in self.site.hosts.values() for name in each}

        async def serve() -> bool:
            told = await self.look()
            return all(name in told and told[name].phase == "serving" for name in wanted)

        return await self.until("all serve", serve, wait)

    async def ended(self, ident: str, wait: float = WAIT) -> dict[str, str]:
        """Wait until an order of the fleet is over; its things with their states."""
        found: dict[str, str] = {}

        async def over() -> bool:
            parts = (await self.state_of(ident)).orders[0].tasks
            found.update({part.target: part.state for part in parts})
            return all(part.state not in ("waiting", "granted", "out") for part in parts)

        await self.until(f"order {ident} is over", over, wait)
        return found
