"""Keepers and agents in simulated time: the decisions of agents, on a network and disks that fail.

A host has a clock of its own rate, a disk, a keeper where it is one, and an agent with instances. What is not
on its disk is gone when it is killed. `play` returns what the auditor found; a failing schedule can be cut
down by `smallest` and played again.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from oakkeel.agent.instances import Goal, Instance, Phase
from oakkeel.agent.leader_locator import LeaderLocator
from oakkeel.agent.orders import OrderRegistry, Verb
from oakkeel.agent.reconciler import Reconciler
from oakkeel.agent.supervisor import Action, Step, SupervisionTimeouts, Supervisor
from oakkeel.control.messages import NodeStatus
from oakkeel.disruption import commands
from oakkeel.disruption.allocator import PermitAllocator, PermitTimeouts
from oakkeel.disruption.control_plane import ControlPlaneReplica
from oakkeel.disruption.holder import PermitHolder
from oakkeel.disruption.messages import Heartbeat, HeartbeatResponse
from oakkeel.disruption.state_machine import OPEN_STATES, Rejection
from oakkeel.disruption.topology import BudgetGroup, Topology
from oakkeel.emulator.clock import Clock, ScheduledEvent
from oakkeel.emulator.faults import MS, SECOND, Fault, Schedule
from oakkeel.invariants.consensus import ConsensusAudit
from oakkeel.invariants.rollout import RolloutAudit
from oakkeel.raft.memory_storage import InMemoryStorage
from oakkeel.raft.messages import Envelope
from oakkeel.raft.replica import DurableState, NotLeaderError, Output, Proposal, ProposalStatus, Role
from oakkeel.raft.timeouts import RaftTimeouts
from oakkeel.rollout import commands as releases
from oakkeel.rollout.assignments import ArtifactRequest
from oakkeel.rollout.commands import RolloutPolicy as ReleasePace
from oakkeel.rollout.commands import VersionSpec
from oakkeel.rollout.controller import RolloutController
from oakkeel.rollout.state_machine import RolloutStateMachine

TURN, POLL, ANSWER = 100 * MS, 150 * MS, 800 * MS
PACE, TERMS = RaftTimeouts(snapshot_entries=64), PermitTimeouts()
WAITS = ("would pass its bound", "the last that serves", "all that is left is out", "would carry")
PATIENCE = SupervisionTimeouts(backoff=300 * MS, steady=2 * SECOND, drain=3 * SECOND)


@dataclass(slots=True, eq=False)
class Process:
    """One process of an instance."""

    generation: int
    up_at: int  # when it serves
    version: str = ""
    leaving: int = 0  # when it ends; 0: it stays


@dataclass(slots=True, eq=False)
class AgentDisk:
    """What an agent has on disk."""

    places: list[tuple[str, int, str, bool]] = field(default_factory=list)
    epoch: str = ""
    generations: dict[str, int] = field(default_factory=dict)
    orders: bytes = b""  # with the instances that they are for
    versions: dict[str, str] = field(default_factory=dict)


class SimulatedHost:
    """One host with all that runs on it. `now` gives its own clock, `world.clock` the true one."""

    def __init__(
        self, world: ConsensusSimulation, name: str, things: tuple[str, ...], founders: tuple[str, ...]
    ) -> None:
        self.world, self.name, self.things, self.founders = world, name, things, founders
        self.random = Random(f"{world.schedule.seed} {name}")
        self.rate, self.offset = 1 + self.random.uniform(-0.015, 0.015), self.random.randrange(10 * SECOND)
        self.lives = 0
        self.disk: InMemoryStorage | None = None
        self.counted = 0  # writes of its record, beside the file
        self.saved = AgentDisk()
        self.processes: dict[str, Process] = {}
        self.running = self.stopped = self.full = False
        self.timer: ScheduledEvent | None = None
        self.crash_in = 0  # at the next step that writes: 1 before it, 2 after
        self.stop_in = 0  # for so long, at the next answer that grants something
        self.start()

    def now(self) -> int:
        return self.offset + int(self.world.clock.now * self.rate)

    # Start and end.

    def start(self) -> None:
        self.running, self.lives = True, self.lives + 1
        self.control_plane: ControlPlaneReplica | None = None
        self.waiting: list[Callable[[], None]] = []  # while it is stopped
        self.whom = LeaderLocator(self.founders, self.world.names)
        self.polled_at = -SECOND
        self._start_keeper()
        self._start_agent()
        lives = self.lives
        self.world.clock.after(self.random.randrange(TURN), self._turn, lives)
        self.timer = self.world.clock.after(1, self._beat, lives)

    def _start_keeper(self) -> None:
        world, now = self.world, self.now()
        if self.disk is not None and self.disk.writes < self.counted:
            self.disk = None  # an older copy
        if self.disk is None:
            self.counted = 0
            self.disk = InMemoryStorage(
                DurableState(self.name, f"{self.name}.{self.random.getrandbits(40):x}")
            )
        self.control_plane = ControlPlaneReplica(
            now,
            self.disk.load(),
            self.random.getrandbits(60),
            PACE,
            self.founders,
            world.layout,
            TERMS,
            RolloutStateMachine,
            self._driver,
        )
        self.control_plane.watched = self._applied
        self.pending: dict[Proposal, Callable[[Proposal], None]] = {}

    def _driver(self, now: int, book: RolloutStateMachine, allocator: PermitAllocator) -> RolloutController:
        return RolloutController(now, book, allocator, f"{self.name}.{self.random.getrandbits(40):x}")

    def _applied(self, index: int, command: commands.Command, result: object) -> None:
        audit = self.world.audit
        content = commands.encode(command)
        audit.applied(self.world.clock.now, self.name, index, content)
        if not isinstance(result, Rejection):
            self.world.of_releases.taken(self.world.clock.now, self.name, content)
        if self.control_plane and isinstance(
            command,
            commands.HaltOrder | commands.CancelOrder | commands.ReleasePermit | commands.ExpirePermit,
        ):
            for order in self.control_plane.ledger.held.orders.values():
                if order.halted and all(
                    part.state not in ("waiting", "granted") for part in order.parts.values()
                ):
                    audit.halt_holds(order.ident)

    def _start_agent(self) -> None:
        now, saved = self.now(), self.saved
        fresh = not saved.orders
        self.permit_holder = PermitHolder(self.name, self.things, self.random.getrandbits(40))
        self.permit_holder.restore(saved.epoch, saved.places, saved.generations)
        if fresh:
            instances = [Instance(name, "site", phase_since=now) for name in self.things]
            self.supervision = Supervisor(instances, PATIENCE, {}, self.random.getrandbits(40), self.now)
            self.orders = OrderRegistry(self.supervision, self.now, permit_holder=self.permit_holder)
        else:
            self.orders = pickle.loads(saved.orders)
            self.supervision = self.orders.supervisor
            self.supervision.unix_time = self.orders.unix_time = self.now
            self.orders.permit_holder = self.permit_holder
        self.reconciler = Reconciler(self.supervision, self.orders, self.permit_holder, generation_block=8)
        self.reconciler.assignments.restore(dict(saved.versions), {}, {})
        if fresh:
            self.reconciler.state_file_lost()
        for each in self.supervision.instances:
            each.phase_since = each.phase_since if fresh else now
            process = self.processes.get(each.name)
            if process:
                self.supervision.process_adopted(now, each, process.generation)
            else:
                self.supervision.process_not_found(now, each, each.process_generation)

    def kill(self) -> None:
        """Its agent and keeper, by SIGKILL; its instances go on."""
        self.running = self.stopped = False
        self.lives += 1

    # Turns.

    def _beat(self, lives: int) -> None:
        """The keeper's timer."""
        if lives != self.lives:
            return None
        if self.stopped:
            return self.waiting.append(lambda: self._beat(lives))
        if self.control_plane:
            self.carry_out(self.control_plane.tick(self.now()))
        if lives == self.lives:
            self._schedule()

    def _schedule(self) -> None:
        """When the keeper has something to do next; anew after whatever happens to it."""
        if self.timer:
            self.timer.call_off()
        wait = 100 * MS
        if self.control_plane:
            wait = max(MS, int((self.control_plane.replica.next_tick_at() - self.now()) / self.rate))
            wait = min(wait, 50 * MS if self.control_plane.allocator else SECOND)
        self.timer = self.world.clock.after(wait, self._beat, self.lives)

    def carry_out(self, all_steps: list[Output]) -> None:
        """Write, send, tell: in this order, or crash between."""
        for steps in all_steps:
            control_plane = self.control_plane
            if control_plane is None or self.disk is None:
                return None
            if steps.storage_update:
                if self.crash_in == 1:
                    self.crash_in = 0
                    return self.world.kill(self, SECOND)
                if self.full:  # as if it had crashed: made again from what is there
                    self.control_plane = None
                    self.world.clock.after(300 * MS, self._again, self.lives)
                    return None
                self.disk.write(control_plane.replica.durable, steps.storage_update)
                self.counted = self.disk.writes
                if self.crash_in == 2:
                    self.crash_in = 0
                    return self.world.kill(self, SECOND)
            for to, letter in steps.envelopes:
                self.world.send(self.name, to, letter)
            for proposal in steps.completed:
                if told := self.pending.pop(proposal, None):
                    told(proposal)
        replica = self.control_plane and self.control_plane.replica
        if replica and replica.role is Role.LEADER:
            self.world.audit.led(self.world.clock.now, replica.term, replica.incarnation)
        if replica and replica.role is Role.STALE:
            self.disk = None
            self._start_keeper()

    def _again(self, lives: int) -> None:
        if lives == self.lives and self.control_plane is None:
            if self.full:
                self.world.clock.after(300 * MS, self._again, lives)
            else:
                self._start_keeper()

    def heard(self, letter: Envelope) -> None:
        if self.running and self.control_plane:
            if self.stopped:
                return self.waiting.append(lambda: self.heard(letter))
            lives = self.lives
            self.carry_out(self.control_plane.heard(self.now(), letter))
            if lives == self.lives:
                self._schedule()

    def _turn(self, lives: int) -> None:
        """The agent's."""
        if lives != self.lives:
            return None
        if self.stopped:
            return self.waiting.append(lambda: self._turn(lives))
        now = self.now()
        for each in self.supervision.instances:
            process = self.processes.get(each.name)
            if process:
                up = self.world.clock.now >= process.up_at
                state = "draining" if process.leaving else "serving" if up else "cold"
                self.supervision.report_received(
                    now, each, state, process.generation, self._report(process, state)
                )
        if now - self.polled_at >= POLL:
            self.polled_at = now
            self.world.poll(self, self.reconciler.build_heartbeat(now), now)
        self.act(now)
        self.world.clock.after(TURN, self._turn, lives)

    def _report(self, process: Process, state: str) -> NodeStatus:
        """As a node of that version makes it: 400 exchanges a second, of which the bad bring less."""
        lasted = max(0, self.world.clock.now - process.up_at)
        count = float(lasted * 400 // SECOND)
        good = float(int(count * (0.6 if process.version.startswith("worse") else 0.98)))
        return NodeStatus(
            0,
            "",
            0,
            process.generation,
            state,
            "",
            0,
            version=process.version,
            load=0.2,
            benefit=[count, good, good],
        )

    def act(self, now: int) -> None:
        for copy in self.reconciler.assignments.to_prepare():
            self.world.clock.after(self.random.randrange(50 * MS, 300 * MS), self._prepared, copy, self.lives)
        if not self.full:
            self.orders.advance(now)
        steps = self.orders.permitted_steps(now, self.supervision.tick(now))
        if self.full:  # what is not kept is not done
            for step in steps:
                if step.action is Action.START and step.instance.task is not None:
                    self.supervision.start_abandoned(now, step.instance)
                elif step.action in (Action.TERM, Action.DRAIN) and step.instance.task is not None:
                    step.instance.drain_sent_at, step.instance.task.drain_sent = 0, False
            steps = [step for step in steps if step.instance.task is None and step.action is not Action.START]
        else:
            self._save()
        for step in steps:
            self._carry_out(step)
        if steps and not self.full:
            self._save()

    def _prepared(self, copy: ArtifactRequest, lives: int) -> None:
        if lives == self.lives:
            why = "it can't be run here" if copy.what.program == "bad" and self.random.random() < 0.5 else ""
            bases = {thing: f"base {thing}" for thing in copy.things}
            self.reconciler.assignments.prepared(copy.release, why, bases)

    def _save(self) -> None:
        permit_holder, instances = self.permit_holder, self.supervision.instances
        if not (
            permit_holder.changed
            or self.orders.changed
            or self.orders.deleted
            or self.reconciler.assignments.changed
            or any(each.dirty for each in instances)
        ):
            return
        self.reconciler.assignments.changed = False
        self.saved.versions = dict(self.reconciler.assignments.versions)
        for each in instances:
            each.dirty = False
        self.orders.deleted.clear()
        self.saved.epoch, self.saved.generations = permit_holder.epoch, dict(permit_holder.generations)
        self.saved.places = [
            (
                thing,
                fence,
                held.ident if (held := permit_holder.places.get(thing)) else "",
                bool(held and held.begun),
            )
            for thing, fence in permit_holder.floors.items()
        ]
        permit_holder.changed.clear()
        self.orders.changed.clear()
        orders, self.orders.permit_holder = self.orders, None
        unix = orders.unix_time
        orders.unix_time = orders.supervisor.unix_time = int  # type: ignore[assignment]  # set again when it is loaded
        self.saved.orders = pickle.dumps(orders)
        orders.unix_time = orders.supervisor.unix_time = unix
        orders.permit_holder = permit_holder

    def _carry_out(self, step: Step) -> None:
        world, name, process = self.world, step.instance.name, self.processes.get(step.instance.name)
        true = world.clock.now
        if step.action is Action.START and process is None:
            generation = step.instance.process_generation
            world.audit.started(true, name, generation)
            version = self.reconciler.assignments.version(name)
            world.of_releases.started(true, name, version)
            started = Process(generation, true + self.random.randrange(100 * MS, 600 * MS), version)
            self.processes[name], step.instance.running_version = started, version
            self.supervision.process_started(self.now(), step.instance)
            if version.startswith("crash"):
                world.clock.at(true + 50 * MS, self._ended, name, started, "exit code 3", True)
            else:
                world.clock.at(started.up_at, self._up, name, started)
        elif process and step.action in (Action.TERM, Action.DRAIN) and not process.leaving:
            held = self.permit_holder.places.get(name)
            if step.instance.goal is Goal.DOWN or step.instance.task is not None:
                world.audit.left(
                    true, name, held.fence if held and held.begun else -1, held.ident if held else ""
                )
            else:
                world.audit.gone(true, name)
            process.leaving = true + self.random.randrange(100 * MS, 1500 * MS)
            world.clock.at(process.leaving, self._ended, name, process, "left")
        elif process and step.action is Action.CANCEL_DRAIN and process.leaving:
            process.leaving = 0
            self._up(name, process)
        elif process and step.action is Action.KILL:
            self._ended(name, process, "killed", True)

    def _up(self, name: str, process: Process) -> None:
        if self.processes.get(name) is process and not process.leaving:
            self.world.audit.serves(self.world.clock.now, name)

    def _ended(self, name: str, process: Process, how: str, surely: bool = False) -> None:
        if self.processes.get(name) is not process or (
            not surely and not (process.leaving and self.world.clock.now >= process.leaving)
        ):
            return
        del self.processes[name]
        self.world.audit.gone(self.world.clock.now, name)
        self._died(name, how, self.lives)

    def _died(self, name: str, how: str, lives: int) -> None:
        if lives != self.lives or not self.running:
            return None
        if self.stopped:
            return self.waiting.append(lambda: self._died(name, how, lives))
        instance = next(each for each in self.supervision.instances if each.name == name)
        if name not in self.processes:
            self.supervision.process_exited(self.now(), instance, how)

    def answered(self, lives: int, sent_at: int, answer: HeartbeatResponse) -> None:
        if lives != self.lives:
            return None
        if self.stopped:
            return self.waiting.append(lambda: self.answered(lives, sent_at, answer))
        now = self.now()
        if not self.full:
            self.reconciler.apply_response(now, sent_at, answer)
            if self.stop_in and any(place.good_for and not place.out for place in answer.places):
                self.stopped = True
                self.world.clock.after(self.stop_in, self.wake)
                self.stop_in = 0
                return self.waiting.append(lambda: self.act(self.now()))
            self.act(now)

    def wake(self) -> None:
        self.stopped = False
        waiting, self.waiting = self.waiting, []
        for act in waiting:
            act()


class ConsensusSimulation:
    def __init__(
        self, schedule: Schedule, plant: Callable[[ConsensusSimulation], None] | None = None
    ) -> None:
        self.schedule, self.clock = schedule, Clock()
        self.random = Random(schedule.seed)
        self.names = names = [f"h{number}" for number in range(schedule.hosts)]
        sites = {name: f"s{number % schedule.sites}" for number, name in enumerate(names)}
        things = {name: tuple(f"{name}i{number}" for number in range(schedule.instances)) for name in names}
        groups = [
            BudgetGroup(
                f"site {site}",
                schedule.bound,
                tuple(thing for name in names if sites[name] == site for thing in things[name]),
            )
            for site in dict.fromkeys(sites.values())
        ]
        every = tuple(thing for each in things.values() for thing in each)
        groups.append(BudgetGroup("fleet", schedule.bound * schedule.sites, every))
        self.layout = Topology({name: things[name] for name in names}, tuple(groups))
        self.audit = ConsensusAudit(
            {group.name: (group.bound, list(group.things)) for group in groups},
            TERMS.lapse + TERMS.silent + 2 * SECOND,
        )
        self.troubled: dict[tuple[str, str], list[Fault]] = {}
        self.said: list[str] = []
        self.orders: list[str] = []
        self.every = every
        self.of_releases = RolloutAudit()
        self.releases: list[str] = []
        if plant:
            plant(self)
        founders = tuple(names[: schedule.keepers])
        self.hosts = {name: SimulatedHost(self, name, things[name], founders) for name in names}
        for trouble in schedule.troubles:
            self.clock.at(trouble.at, self._trouble, trouble)

    def say(self, text: str) -> None:
        self.said.append(f"{self.clock.now / SECOND:.3f} s: {text}")

    # The network.

    def _links(self, source: str, to: str) -> list[Fault]:
        now = self.clock.now
        return [each for each in self.troubled.get((source, to), ()) if now < each.at + each.lasts]

    def _deliver(self, source: str, to: str, act: Callable[..., None], *words: object) -> None:
        if source == to:
            self.clock.after(10_000, act, *words)
            return
        delay, copies = self.random.randrange(100_000, 2 * MS), 1
        for trouble in self._links(source, to):
            if trouble.kind in ("cut", "cut one way", "part"):
                return
            if trouble.kind == "loss" and self.random.random() < 0.2 + 0.6 * trouble.size:
                return
            if trouble.kind == "slow links":
                delay += int(self.random.random() * trouble.size * 2 * SECOND)
            if trouble.kind == "double":
                copies = 2
        for _ in range(copies):
            self.clock.after(delay, act, *words)
            delay += self.random.randrange(20 * MS)

    def send(self, source: str, to: str, letter: Envelope) -> None:
        if to in self.hosts:
            self._deliver(source, to, self.hosts[to].heard, letter)

    def poll(self, host: SimulatedHost, poll: Heartbeat, sent_at: int) -> None:
        leader, lives, waits = self.hosts[host.whom.current], host.lives, True

        def asked() -> None:
            if not leader.running:
                return
            if leader.stopped:
                leader.waiting.append(asked)
                return
            if leader.control_plane is None:
                return
            try:
                answer, steps = leader.control_plane.polled(leader.now(), poll)
            except NotLeaderError as error:
                self._deliver(leader.name, host.name, other, error.leader)
                return
            self._deliver(leader.name, host.name, came, answer)
            leader.carry_out(steps)

        def came(answer: HeartbeatResponse) -> None:
            nonlocal waits
            waits = False
            if host.lives == lives and answer.keepers:
                host.whom.set_voters(answer.keepers)
            host.answered(lives, sent_at, answer)

        def other(name: str) -> None:
            nonlocal waits
            if host.lives == lives and waits:
                waits = False
                host.whom.redirect(name)

        self._deliver(host.name, leader.name, asked)
        self.clock.after(ANSWER, other, "")

    # Operators.

    def order(self, command: commands.Command | releases.Command, ident: str, tries: int = 40) -> None:
        """To whoever leads, again and again with the same id until it is answered."""
        host = self.random.choice([each for each in self.hosts.values() if each.running] or [None])
        if (tries and host is None) or (host is not None and (host.stopped or host.control_plane is None)):
            self.clock.after(100 * MS, self.order, command, ident, tries - 1)
            return
        if host is None or host.control_plane is None:
            return

        told = False

        def ended(proposal: Proposal) -> None:
            nonlocal told
            told = True
            if proposal.status is ProposalStatus.COMMITTED:
                result = proposal.result
                if not isinstance(result, Rejection) and isinstance(command, releases.StartRelease):
                    self.releases.append(ident)
                if not isinstance(result, Rejection) and isinstance(command, commands.SubmitOrder):
                    self.audit.answered(ident, getattr(result, "index", proposal.index))
            else:
                self.clock.after(100 * MS, self.order, command, ident, tries - 1)

        try:
            proposal, steps = host.control_plane.propose(host.now(), command)
        except NotLeaderError:
            if tries:
                self.clock.after(100 * MS, self.order, command, ident, tries - 1)
            return
        host.pending[proposal] = ended
        host.carry_out(steps)

        def again() -> None:  # whom it asked may be gone
            if not told and tries:
                self.order(command, ident, tries - 1)

        self.clock.after(2 * SECOND, again)

    def _act(self, trouble: Fault) -> None:
        thing = self.every[trouble.who % len(self.every)]
        host = next(each for each in self.hosts.values() if thing in each.things)
        if trouble.kind in ("drain", "drain whole", "restart", "stop it"):
            ident = f"o{len(self.orders)}"
            self.orders.append(ident)
            wanted = {thing, *(each for each in self.every if self.random.random() < trouble.size)}
            things = [
                (each.name, each.generation)
                for one in self.hosts.values()
                for each in one.supervision.instances
                if each.name in wanted
            ]
            verb = {"restart": "restart", "stop it": "stop"}.get(trouble.kind, "drain")
            self.order(
                commands.SubmitOrder(
                    ident, "asha", verb, 0, 6 * SECOND, trouble.kind == "drain whole", things
                ),
                ident,
            )
        elif trouble.kind in ("halt", "cancel") and self.orders:
            ident = self.orders[trouble.who % len(self.orders)]
            kind = commands.HaltOrder if trouble.kind == "halt" else commands.CancelOrder
            self.order(kind(ident, "ravi"), ident)
        elif trouble.kind == "release":
            ident = f"r{trouble.at}"
            new = ("good", "good", "worse", "crash")[trouble.to % 4]
            chosen = [each for each in self.every if self.random.random() < 0.3 + trouble.size] or [thing]
            pace = ReleasePace(
                soak=200 * MS,
                patience=10 * SECOND,
                lasts=4 * SECOND,
                control=trouble.who % 2 == 0,
                back=trouble.to % 3 == 0,
            )
            what = VersionSpec(f"{new} {ident}", "bad" if trouble.to % 16 == 0 else "here")
            self.order(releases.StartRelease(ident, "asha", 0, what, pace, chosen), ident)
        elif trouble.kind in ("pause", "resume", "abort", "undo", "leave"):
            if self.releases:
                self.order(
                    releases.ControlRelease(self.releases[-1], "ravi", trouble.kind), self.releases[-1]
                )
        elif trouble.kind == "keepers":
            count = min(len(self.hosts), 3 + 2 * (trouble.to % 2))
            names = self.random.sample(sorted(self.hosts), count)
            self.order(commands.SetVoters(names, "asha"), "keepers")
        elif trouble.kind == "start" and host.running and not host.full:
            instance = next(each for each in host.supervision.instances if each.name == thing)
            if instance.task is None and instance.phase in (Phase.STOPPED, Phase.FAILING):
                host.supervision.order_start(host.now(), instance)

    # Troubles.

    def kill(self, host: SimulatedHost, wait: int) -> None:
        if host.running:
            host.kill()
            self.clock.after(wait, self._start, host)

    def _start(self, host: SimulatedHost) -> None:
        if not host.running:
            host.start()

    def _trouble(self, trouble: Fault) -> None:
        self.say(f"{trouble.kind} {trouble.who} {trouble.to} for {trouble.lasts // MS} ms")
        names = sorted(self.hosts)
        host = self.hosts[names[trouble.who % len(names)]]
        other = names[trouble.to % len(names)]
        kind = trouble.kind
        if kind == "kill":
            self.kill(host, trouble.lasts)
        elif kind == "kill all":
            for each in self.hosts.values():
                self.kill(each, 200 * MS + int(self.random.random() * trouble.lasts))
        elif kind == "kill in a step":
            host.crash_in = 1 + trouble.to % 2
        elif kind == "power":
            for thing, process in list(host.processes.items()):
                host._ended(thing, process, "power", True)
            self.kill(host, trouble.lasts)
        elif kind == "stop in a step":
            host.stop_in = trouble.lasts
        elif kind == "lose the file" and host.running and self._may_lose(host):
            for thing, process in list(host.processes.items()):
                if trouble.size < 0.5:
                    host._ended(thing, process, "power", True)
            self.kill(host, trouble.lasts)
            host.disk, host.saved, host.counted = None, AgentDisk(), 0
        elif kind == "old file" and host.disk is not None:
            counted = host.counted if trouble.size < 0.3 else -1  # the whole folder, or the file alone
            self.clock.after(trouble.lasts, self._put_back, host, host.disk.copy(), counted, trouble.lasts)
        elif kind == "stop" and host.running and not host.stopped:
            host.stopped = True
            self.clock.after(trouble.lasts, host.wake)
        elif kind == "full disk":
            host.full = True
            self.clock.after(trouble.lasts, setattr, host, "full", False)
        elif kind == "clock":
            host.rate = 1 + (trouble.size - 0.5) * 0.03
        elif kind in ("cut", "cut one way", "part", "slow links", "loss", "double"):
            for source, to in self._pairs(trouble, host.name, other):
                self.troubled.setdefault((source, to), []).append(trouble)
        elif kind in ("die", "die all of a site"):
            dead = host.things if kind != "die" else (host.things[trouble.to % len(host.things)],)
            for thing in dead:
                if found := host.processes.get(thing):
                    host._ended(thing, found, "died", True)
        else:
            self._act(trouble)

    def _put_back(self, host: SimulatedHost, backup: InMemoryStorage, counted: int, wait: int) -> None:
        if not host.running or not self._may_lose(host):
            return
        if counted >= 0:
            # With the whole folder nothing on the host shows it: only others can, and they must be there.
            others = [each for each in self.hosts.values() if each is not host]
            if any(not each.running or each.stopped or each.full for each in others) or any(
                now_troubled for pair in self.troubled for now_troubled in self._links(*pair)
            ):
                return
            wait = MS
            host.counted = counted
        self.say(f"the old file of {host.name} is put back{'' if counted < 0 else ' with its whole folder'}")
        self.kill(host, wait)
        host.disk = backup

    def _may_lose(self, host: SimulatedHost) -> bool:
        """No promise holds once a majority of the keepers' files is gone: that takes a rite of its own."""
        leaders = [
            each.control_plane.replica
            for each in self.hosts.values()
            if each.control_plane and each.control_plane.allocator
        ]
        if not leaders:
            return False
        # One at a time: a learner may be a voter the moment after, and one who was replaced is none yet.
        members = [each for each in leaders[-1].members if each.name != host.name]
        return all(
            (disk := self.hosts[each.name].disk)
            and disk.head.incarnation == each.incarnation
            and disk.head.epoch
            and each.is_voter
            and self.hosts[each.name].running
            for each in members
        )

    def _pairs(self, trouble: Fault, name: str, other: str) -> list[tuple[str, str]]:
        names = sorted(self.hosts)
        if trouble.kind == "cut one way":
            away = [(name, each) for each in names]
            return away if trouble.size < 0.5 else [(to, source) for source, to in away]
        if trouble.kind == "part":
            here = {each for each in names if self.random.random() < 0.5}
            return [(a, b) for a in names for b in names if (a in here) != (b in here)]
        if trouble.kind == "cut" and trouble.size < 0.5:
            return [(name, other), (other, name)]
        if trouble.kind in ("loss", "double", "slow links"):
            return [(a, b) for a in names for b in names]
        return [pair for each in names for pair in ((name, each), (each, name))]

    # The end.

    def run(self) -> list[str]:
        self.clock.at(SECOND, self._look)
        self.clock.run(self.schedule.lasts)
        return self.audit.end(self.clock.now) + self.of_releases.breaches

    def _look(self) -> None:
        """What an operator is told of releases by whoever leads, again and again."""
        for host in self.hosts.values():
            if (
                host.running
                and not host.stopped
                and host.control_plane
                and host.control_plane.allocator
                and host.control_plane.replica.holds_lease(host.now())
            ):
                for each in host.control_plane.ledger.held.releases.values():  # type: ignore[attr-defined]
                    if each.over and each.ident in self.of_releases.version:
                        self.of_releases.ended(self.clock.now, each.ident, each.state, self._serving())
        self.clock.after(50 * MS, self._look)

    def _serving(self) -> set[str]:
        return {
            name
            for host in self.hosts.values()
            for name, process in host.processes.items()
            if not process.leaving and self.clock.now >= process.up_at
        }

    def stuck(self) -> list[str]:
        """What a good end would have: one leader, no order that is open, nothing away without a place. What
        was begun late has the time of one more order."""
        if found := self._stuck():
            self.clock.run(self.clock.now + 12 * SECOND)
            found = self._stuck()
        return found

    def _stuck(self) -> list[str]:
        leaders = [
            each
            for each in self.hosts.values()
            if each.control_plane
            and each.control_plane.allocator
            and each.control_plane.replica.holds_lease(each.now())
        ]
        if len(leaders) != 1:
            return [f"{len(leaders)} leaders at the end"]
        ledger = leaders[0].control_plane.ledger  # type: ignore[union-attr]
        found = [
            f"order {order.ident} is open: {order.parts}"
            for order in ledger.held.orders.values()
            if any(part.state in OPEN_STATES for part in order.parts.values())
        ]
        release = ledger.open  # type: ignore[union-attr]
        if release and release.state in ("preparing", "running", "undoing"):
            above = leaders[0].control_plane.above  # type: ignore[union-attr]
            why = above.why if isinstance(above, RolloutController) else "nobody drives"
            if not any(word in why for word in WAITS):  # for what operators have taken out for good
                found.append(
                    f"release {release.ident} is {release.state}, batch {release.batch}, {release.now}: {why}"
                )
        for host in self.hosts.values():
            for part in host.orders.open_tasks:
                order = ledger.held.orders.get(part.order.order_id)
                if part.is_open and part.order.verb is not Verb.START and not (order and order.open):
                    found.append(f"{host.name}: a part of {part.order.order_id} waits for nothing")
        return found


def play(
    schedule: Schedule, plant: Callable[[ConsensusSimulation], None] | None = None
) -> tuple[ConsensusSimulation, list[str]]:
    world = ConsensusSimulation(schedule, plant)
    return world, world.run()


def smallest(schedule: Schedule, fails: Callable[[Schedule], bool]) -> Schedule:
    """Leave out what it fails without, one trouble after the other, until nothing more can be."""
    while True:
        for index in range(len(schedule.troubles)):
            less = replace(schedule, troubles=schedule.troubles[:index] + schedule.troubles[index + 1 :])
            if fails(less):
                schedule = less
                break
        else:
            return schedule
