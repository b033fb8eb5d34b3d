"""Whether a simulation comes to a good end: one leader, no open order, nothing out without a permit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oakkeel.agent.orders import Verb
from oakkeel.disruption.control_plane import ControlPlaneReplica
from oakkeel.disruption.state import OPEN_STATES
from oakkeel.rollout.controller import RolloutController
from oakkeel.rollout.plan import NONE_AVAILABLE
from oakkeel.units import MS, SECOND

if TYPE_CHECKING:
    from oakkeel.emulator.consensus import ConsensusSimulation
    from oakkeel.emulator.simulated_host import SimulatedHost

CHECK_INTERVAL = 50 * MS
MORE_TIME = 12 * SECOND  # for what was begun late: one more order
GOOD_REASONS = (  # of a release that waits for what operators have taken out for good
    "would pass its bound",
    "last serving target",
    NONE_AVAILABLE,
    "would carry",
)


class ConvergenceCheck:
    """Looks at releases all the time, and at the end for what is stuck."""

    def __init__(self, simulation: ConsensusSimulation) -> None:
        """It looks at the hosts of that simulation."""
        self.simulation = simulation

    def check_releases(self) -> None:
        """Tell the audit what operators are told of releases by whoever leads, again and again."""
        simulation = self.simulation
        for host in simulation.hosts.values():
            leader = host.leader
            if not leader or not host.running or host.stopped or not leader.replica.holds_lease(host.now()):
                continue
            for release in leader.state_machine.state.releases.values():  # type: ignore[attr-defined]
                if release.is_finished and release.ident in simulation.rollout_audit.version:
                    simulation.rollout_audit.record_end(
                        simulation.clock.now, release.ident, release.state, self._serving()
                    )
        simulation.clock.after(CHECK_INTERVAL, self.check_releases)

    def _serving(self) -> set[str]:
        now = self.simulation.clock.now
        return {
            name
            for host in self.simulation.hosts.values()
            for name, process in host.processes.running.items()
            if not process.exits_at and now >= process.serves_at
        }

    def stuck(self) -> list[str]:
        """Return what has not come to an end, also with some more time."""
        if found := self._stuck():
            clock = self.simulation.clock
            clock.run(clock.now + MORE_TIME)
            found = self._stuck()
        return found

    def _stuck(self) -> list[str]:
        hosts = self.simulation.hosts.values()
        leaders = [
            leader for host in hosts if (leader := host.leader) and leader.replica.holds_lease(host.now())
        ]
        if len(leaders) != 1:
            return [f"{len(leaders)} leaders at the end"]
        leader = leaders[0]
        found = [
            f"order {order.id} is open: {order.tasks}"
            for order in leader.state_machine.state.orders.values()
            if any(part.state in OPEN_STATES for part in order.tasks.values())
        ]
        found += self._stuck_release(leader)
        for host in hosts:
            found += self._stuck_tasks(leader, host)
        return found

    def _stuck_release(self, leader: ControlPlaneReplica) -> list[str]:
        release = leader.state_machine.open_release  # type: ignore[attr-defined]
        if not release or release.state not in ("preparing", "running", "undoing"):
            return []
        controller = leader.extension
        reason = controller.why if isinstance(controller, RolloutController) else "nobody drives"
        if any(good_reason in reason for good_reason in GOOD_REASONS):
            return []
        state = f"{release.state}, batch {release.batch}, {release.in_progress}"
        return [f"release {release.ident} is {state}: {reason}"]

    def _stuck_tasks(self, leader: ControlPlaneReplica, host: SimulatedHost) -> list[str]:
        found = []
        for part in host.agent.orders.open_tasks:
            order = leader.state_machine.state.orders.get(part.order.order_id)
            if part.is_open and part.order.verb is not Verb.START and not (order and order.open):
                found.append(f"{host.name}: a part of {part.order.order_id} waits for nothing")
        return found
