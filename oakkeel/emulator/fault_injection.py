"""Injects the faults of a schedule into simulated hosts and their network."""

from __future__ import annotations

from oakkeel.emulator.faults import Fault
from oakkeel.emulator.operators import Operators
from oakkeel.emulator.simulated_host import SimulatedHost
from oakkeel.emulator.simulated_network import SimulatedNetwork
from oakkeel.emulator.world import World
from oakkeel.raft.memory_storage import InMemoryStorage
from oakkeel.units import MS

LINK_FAULTS = ("cut", "cut one way", "part", "slow links", "loss", "double")
MAX_RATE_DIFFERENCE = 0.03  # between the fastest and the slowest machine clock
FOLDER_RESTORE_SHARE = 0.3  # share of backups that restore the whole folder, not only the replica's file
MIN_RESTART_DELAY_NS = 200 * MS  # of a host, after all hosts were killed


class FaultInjector:
    """Injects the faults of a schedule, and passes operators' actions to `Operators`."""

    def __init__(
        self,
        world: World,
        hosts: dict[str, SimulatedHost],
        network: SimulatedNetwork,
        operators: Operators,
    ) -> None:
        """`hosts`: by name; may be filled later."""
        self.world = world
        self.hosts = hosts
        self.network = network
        self.operators = operators

    def inject(self, fault: Fault) -> None:
        """Inject a fault, or have the operators carry out an action."""
        self.world.log_event(f"{fault.kind} {fault.subject} {fault.other} for {fault.duration // MS} ms")
        names = sorted(self.hosts)
        host = self.hosts[names[fault.subject % len(names)]]
        other = names[fault.other % len(names)]
        if fault.kind in LINK_FAULTS:
            for source, recipient in self._affected_links(fault, host.name, other):
                self.network.add_fault(source, recipient, fault)
        elif not (self._inject_process_fault(fault, host) or self._inject_disk_fault(fault, host)):
            self.operators.act(fault)

    def _inject_process_fault(self, fault: Fault, host: SimulatedHost) -> bool:
        """Kill, stop or slow down processes; returns False for faults of other kinds."""
        if fault.kind == "kill":
            host.machine.kill(fault.duration)
        elif fault.kind == "kill all":
            for killed_host in self.hosts.values():
                killed_host.machine.kill(
                    MIN_RESTART_DELAY_NS + int(self.world.random.random() * fault.duration)
                )
        elif fault.kind == "kill in a step":
            host.replica.planned_crash = 1 + fault.other % 2  # before or after the next write
        elif fault.kind == "power":
            host.end_processes("power")
            host.machine.kill(fault.duration)
        elif fault.kind == "stop in a step":
            host.agent.pause_on_permit = fault.duration
        elif fault.kind == "stop" and host.machine.running and not host.machine.stopped:
            host.machine.stop(fault.duration)
        elif fault.kind == "clock":
            host.machine.rate = 1 + (fault.intensity - 0.5) * MAX_RATE_DIFFERENCE
        elif fault.kind in ("die", "die all of a site"):
            self._end_instances(fault, host)
        else:
            return False
        return True

    def _end_instances(self, fault: Fault, host: SimulatedHost) -> None:
        names = (
            host.instances if fault.kind != "die" else (host.instances[fault.other % len(host.instances)],)
        )
        for name in names:
            if process := host.processes.running.get(name):
                host.processes.end(name, process, "died", True)

    def _inject_disk_fault(self, fault: Fault, host: SimulatedHost) -> bool:
        """Lose, restore or fill a disk; returns False for faults of other kinds."""
        clock = self.world.clock
        if fault.kind == "lose the file" and host.machine.running and self._may_lose_storage(host):
            if fault.intensity < 0.5:
                host.end_processes("power")
            host.machine.kill(fault.duration)
            host.lose_files()
        elif fault.kind == "old file" and host.replica.storage is not None:
            with_folder = fault.intensity < FOLDER_RESTORE_SHARE
            known_writes = host.replica.known_writes if with_folder else -1
            backup = host.replica.storage.copy()
            clock.call_after(fault.duration, self._restore_backup, host, backup, known_writes, fault.duration)
        elif fault.kind == "full disk":
            host.machine.disk_full = True
            clock.call_after(fault.duration, setattr, host.machine, "disk_full", False)
        else:
            return False
        return True

    def _restore_backup(
        self, host: SimulatedHost, backup: InMemoryStorage, known_writes: int, restart_delay: int
    ) -> None:
        """Restore a backup of the replica's file.

        `known_writes`: the host's count of writes at the backup, or -1 if that count is not restored.
        """
        if not host.machine.running or not self._may_lose_storage(host):
            return
        if known_writes >= 0:
            # The host can't detect that its whole folder is old. Only other hosts can, so all must respond.
            others = [other for other in self.hosts.values() if other is not host]
            if any(
                not other.machine.running or other.machine.stopped or other.machine.disk_full
                for other in others
            ):
                return
            if self.network.has_faults():
                return
            restart_delay = MS
            host.replica.known_writes = known_writes
        suffix = "" if known_writes < 0 else " with the whole folder"
        self.world.log_event(f"a backup of the file of {host.name} is restored{suffix}")
        host.machine.kill(restart_delay)
        host.replica.storage = backup

    def _may_lose_storage(self, host: SimulatedHost) -> bool:
        """Whether all other members have their storage.

        The invariants do not hold once a majority of the replicas has lost its storage; a manual recovery is
        needed then. So only one member may lose its storage at a time, and only while all other members are
        voters: a learner may become a voter at any moment, and a replaced member is not a voter yet.
        """
        hosts = self.hosts
        leaders = [leader for other in hosts.values() if (leader := other.leader)]
        if not leaders:
            return False
        members = [member for member in leaders[-1].replica.members if member.name != host.name]
        return all(
            (storage := hosts[member.name].replica.storage)
            and storage.metadata.incarnation == member.incarnation
            and storage.metadata.epoch
            and member.is_voter
            and hosts[member.name].machine.running
            for member in members
        )

    def _affected_links(self, fault: Fault, name: str, other: str) -> list[tuple[str, str]]:
        """Return the links that a fault affects, as pairs of source and recipient."""
        names = sorted(self.hosts)
        if fault.kind == "cut one way":
            outgoing = [(name, recipient) for recipient in names]
            return (
                outgoing if fault.intensity < 0.5 else [(recipient, source) for source, recipient in outgoing]
            )
        if fault.kind == "part":
            partition = {host for host in names if self.world.random.random() < 0.5}
            return [
                (source, recipient)
                for source in names
                for recipient in names
                if (source in partition) != (recipient in partition)
            ]
        if fault.kind == "cut" and fault.intensity < 0.5:
            return [(name, other), (other, name)]
        if fault.kind in ("loss", "double", "slow links"):
            return [(source, recipient) for source in names for recipient in names]
        return [link for recipient in names for link in ((name, recipient), (recipient, name))]
