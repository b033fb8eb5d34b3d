"""Simulated operators, who submit orders, releases and changes of the voters, with retries."""

from __future__ import annotations

from oakkeel.agent.instances import Phase
from oakkeel.disruption import commands
from oakkeel.disruption.state import Rejection
from oakkeel.emulator.faults import Fault
from oakkeel.emulator.simulated_host import SimulatedHost
from oakkeel.emulator.world import World
from oakkeel.raft.proposals import NotLeaderError, Proposal, ProposalStatus
from oakkeel.rollout import commands as releases
from oakkeel.rollout.commands import RolloutPolicy, VersionSpec
from oakkeel.units import MS, SECOND

MAX_ATTEMPTS = 40
RETRY_DELAY_NS = 100 * MS
RESPONSE_TIMEOUT_NS = 2 * SECOND
ORDER_DEADLINE_NS = 6 * SECOND
VERBS = {"restart": "restart", "stop it": "stop"}  # verb of the order by kind of action; otherwise: drain


class Operators:
    """Carries out the operators' actions of a schedule."""

    def __init__(self, world: World, hosts: dict[str, SimulatedHost]) -> None:
        """`hosts`: by name; may be filled later."""
        self.world = world
        self.hosts = hosts
        self.orders: list[str] = []  # IDs of all orders submitted
        self.releases: list[str] = []  # IDs of the releases that were accepted

    def submit(
        self, command: commands.Command | releases.Command, ident: str, attempts: int = MAX_ATTEMPTS
    ) -> None:
        """Propose a command on a random host; retry up to `attempts` times until the command is committed."""
        world = self.world
        running = [host for host in self.hosts.values() if host.machine.running]
        host = world.random.choice(running or [None])
        if host is None and not attempts:
            return
        if host is None or host.machine.stopped or host.control_plane is None:
            self._retry(command, ident, attempts)
            return
        is_completed = False

        def on_completed(proposal: Proposal) -> None:
            nonlocal is_completed
            is_completed = True
            if proposal.status is ProposalStatus.COMMITTED:
                self._on_committed(command, ident, proposal)
            else:
                self._retry(command, ident, attempts)

        try:
            proposal, outputs = host.control_plane.propose(host.machine.now(), command)
        except NotLeaderError:
            if attempts:
                self._retry(command, ident, attempts)
            return
        host.replica.completions[proposal] = on_completed
        host.replica.process_outputs(outputs)

        def on_timeout() -> None:  # the host with the proposal may have been killed
            if not is_completed and attempts:
                self.submit(command, ident, attempts - 1)

        world.clock.call_after(RESPONSE_TIMEOUT_NS, on_timeout)

    def _retry(self, command: commands.Command | releases.Command, ident: str, attempts: int) -> None:
        self.world.clock.call_after(RETRY_DELAY_NS, self.submit, command, ident, attempts - 1)

    def _on_committed(
        self, command: commands.Command | releases.Command, ident: str, proposal: Proposal
    ) -> None:
        result = proposal.result
        if isinstance(result, Rejection):
            return
        if isinstance(command, releases.StartRelease):
            self.releases.append(ident)
        if isinstance(command, commands.SubmitOrder):
            self.world.audit.record_acknowledgement(ident, getattr(result, "index", proposal.index))

    def act(self, action: Fault) -> None:
        """Carry out an action of the schedule."""
        if action.kind in ("drain", "drain whole", "restart", "stop it"):
            self._submit_order(action)
        elif action.kind in ("halt", "cancel") and self.orders:
            ident = self.orders[action.subject % len(self.orders)]
            command_type = commands.HaltOrder if action.kind == "halt" else commands.CancelOrder
            self.submit(command_type(ident, "ravi"), ident)
        elif action.kind == "release":
            self._start_release(action)
        elif action.kind in ("pause", "resume", "abort", "undo", "leave"):
            if self.releases:
                ident = self.releases[-1]
                self.submit(releases.ControlRelease(ident, "ravi", action.kind), ident)
        elif action.kind == "keepers":
            self._change_voters(action)
        elif action.kind == "start":
            self._start_instance(action)

    def _subject_instance(self, action: Fault) -> str:
        instances = self.world.instances
        return instances[action.subject % len(instances)]

    def _submit_order(self, action: Fault) -> None:
        world = self.world
        ident = f"o{len(self.orders)}"
        self.orders.append(ident)
        drawn_names = [name for name in world.instances if world.random.random() < action.intensity]
        target_names = {self._subject_instance(action), *drawn_names}
        targets = [
            (instance.name, instance.generation)
            for host in self.hosts.values()
            for instance in host.agent.supervisor.instances
            if instance.name in target_names
        ]
        verb = VERBS.get(action.kind, "drain")
        is_atomic = action.kind == "drain whole"
        command = commands.SubmitOrder(ident, "asha", verb, 0, ORDER_DEADLINE_NS, is_atomic, targets)
        self.submit(command, ident)

    def _start_release(self, action: Fault) -> None:
        world = self.world
        ident = f"r{action.at}"
        version = ("good", "good", "worse", "crash")[action.other % 4]
        drawn_names = [name for name in world.instances if world.random.random() < 0.3 + action.intensity]
        policy = RolloutPolicy(
            soak=200 * MS,
            verdict_timeout=10 * SECOND,
            batch_timeout=4 * SECOND,
            control=action.subject % 2 == 0,
            auto_roll_back=action.other % 3 == 0,
        )
        specification = VersionSpec(f"{version} {ident}", "bad" if action.other % 16 == 0 else "here")
        targets = drawn_names or [self._subject_instance(action)]
        self.submit(releases.StartRelease(ident, "asha", 0, specification, policy, targets), ident)

    def _change_voters(self, action: Fault) -> None:
        world = self.world
        count = min(len(self.hosts), 3 + 2 * (action.other % 2))
        names = world.random.sample(sorted(self.hosts), count)
        self.submit(commands.SetVoters(names, "asha"), "keepers")

    def _start_instance(self, action: Fault) -> None:
        name = self._subject_instance(action)
        host = next(host for host in self.hosts.values() if name in host.instances)
        if not host.machine.running or host.machine.disk_full:
            return
        supervisor = host.agent.supervisor
        instance = next(instance for instance in supervisor.instances if instance.name == name)
        if instance.task is None and instance.phase in (Phase.STOPPED, Phase.FAILING):
            supervisor.order_start(host.machine.now(), instance)
