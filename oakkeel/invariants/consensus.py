"""Audit of the invariants of consensus and of disruption permits, from observed events.

The invariants:

1. A term has at most one leader.
2. All replicas have the same committed entry at an index, and it never changes.
3. An acknowledged order is in the log at the index that was returned to the operator.
4. The number of targets of a budget group that are taken out at one time does not exceed its maximum
   unavailable. When a serving target is taken out, targets that failed long enough ago to be detected count
   as unavailable too.
5. No target is taken out without a permit that a committed command granted, and the fencing tokens under
   which a target is drained never decrease.
6. No generation of an instance is used twice.
7. Once no target of a halted order waits for a permit or has an unused permit, the order takes no target out.

The audit receives events with the true time and shares no code with the implementation.
"""

from __future__ import annotations

from typing import Any

import msgspec

from oakkeel.units import SECOND


class ConsensusAudit:
    """Checks the invariants at each event. All times are nanoseconds of one clock."""

    def __init__(
        self, groups: dict[str, tuple[int, list[str]]], detection_time: int, max_breaches: int = 100
    ) -> None:
        """`groups` gives the maximum unavailable and the targets of each budget group by name.

        A target must count as unavailable for every new permit from `detection_time` after its failure on.
        """
        self.groups = groups
        self.detection_time = detection_time
        self.max_breaches = max_breaches
        self.breaches: list[str] = []
        self.leaders: dict[int, str] = {}  # replica by term
        self.committed: dict[int, bytes] = {}  # encoded command by index
        self.acknowledged_orders: list[tuple[str, int]] = []  # ID of the order and returned index
        self.taken_out: dict[str, int] = {}  # fencing token by target that an order has taken out
        self.unavailable_since: dict[str, int] = {}  # time by target that is unavailable without an order
        self.latest_fences: dict[str, int] = {}  # fencing token of the latest drain by target
        self.generations: dict[str, int] = {}  # latest generation by target
        self.halted_orders: set[str] = set()  # order IDs
        self.granted_fences: dict[str, set[int]] = {}  # committed fencing tokens by target
        # maximum number of targets that orders had taken out at one time, by budget group
        self.max_taken_out: dict[str, int] = dict.fromkeys(groups, 0)

    def record_leader(self, now: int, term: int, replica: str) -> None:
        """Record the leader of a term."""
        known_leader = self.leaders.setdefault(term, replica)
        if known_leader != replica:
            self._breach(now, f"1: {known_leader} and {replica} both lead in term {term}")

    def record_applied_command(self, now: int, replica: str, index: int, content: bytes) -> None:
        """Record that a replica has applied a committed command."""
        known_content = self.committed.setdefault(index, content)
        if known_content != content:
            self._breach(now, f"2: {replica} has another committed command at index {index}")
        command: Any = msgspec.msgpack.decode(content)
        if command[0] == "grant":
            for target in command[2]:
                self.record_permit(target, index)  # the index is the fencing token

    def record_permit(self, target: str, fence: int) -> None:
        """Record that a permit for a target was committed; `fence`: its fencing token."""
        self.granted_fences.setdefault(target, set()).add(fence)

    def record_acknowledgement(self, order_id: str, index: int) -> None:
        """Record that an operator received the index of an order."""
        self.acknowledged_orders.append((order_id, index))

    def record_halt(self, order_id: str) -> None:
        """Record that an order is halted and none of its targets waits for a permit or has an unused one."""
        self.halted_orders.add(order_id)

    def record_drain(self, now: int, target: str, fence: int, ident: str = "") -> None:
        """Record that order `ident` starts to drain a target; `fence`: the fencing token of the permit."""
        if ident in self.halted_orders and self.latest_fences.get(target) != fence:
            self._breach(now, f"7: {target} is drained by order {ident}, which is halted")
        if fence not in self.granted_fences.get(target, ()):
            self._breach(
                now,
                f"5: {target} is drained under fencing token {fence}, which no committed command granted",
            )
        if fence < self.latest_fences.get(target, 0):
            self._breach(
                now,
                f"5: {target} is drained under fencing token {fence} after {self.latest_fences[target]}",
            )
        is_newly_out = target not in self.taken_out
        self.latest_fences[target] = self.taken_out[target] = fence
        was_serving = self.unavailable_since.pop(target, None) is None
        if is_newly_out:
            for name, (_, targets) in self.groups.items():
                if target in targets:
                    self._check_max_unavailable(now, name, was_serving)

    def _check_max_unavailable(self, now: int, name: str, was_serving: bool) -> None:
        max_unavailable, targets = self.groups[name]
        taken_out = [target for target in targets if target in self.taken_out]
        known_unavailable = [
            target
            for target in targets
            if target not in self.taken_out
            and now - self.unavailable_since.get(target, now) > self.detection_time
        ]
        self.max_taken_out[name] = max(self.max_taken_out[name], len(taken_out))
        if len(taken_out) > max_unavailable:
            self._breach(now, f"4: {name}: {', '.join(taken_out)} are taken out, maximum {max_unavailable}")
        elif was_serving and len(taken_out) + len(known_unavailable) > max_unavailable:
            self._breach(
                now,
                f"4: {name}: {', '.join(taken_out)} are taken out while {', '.join(known_unavailable)} are"
                f" known to be unavailable, maximum {max_unavailable}",
            )

    def record_serving(self, now: int, target: str) -> None:
        """Record that a target serves."""
        self.taken_out.pop(target, None)
        self.unavailable_since.pop(target, None)

    def record_unavailable(self, now: int, target: str) -> None:
        """Record that a target is unavailable without an order."""
        if target not in self.taken_out:
            self.unavailable_since.setdefault(target, now)

    def record_process_start(self, now: int, target: str, generation: int) -> None:
        """Record that a process of a target starts; each process must have a new generation."""
        latest = self.generations.get(target, 0)
        if generation <= latest:
            self._breach(now, f"6: {target} starts as generation {generation} after {latest}")
        self.generations[target] = max(generation, latest)

    def finish(self, now: int) -> list[str]:
        """Check the acknowledged orders and return all breaches."""
        for order_id, index in self.acknowledged_orders:
            content = self.committed.get(index)
            if content is None or msgspec.msgpack.decode(content)[1] != order_id:
                self._breach(
                    now, f"3: order {order_id} was acknowledged at index {index}, but it is not there"
                )
        return self.breaches

    def _breach(self, now: int, text: str) -> None:
        if len(self.breaches) < self.max_breaches:
            self.breaches.append(f"{now / SECOND:.3f} s: invariant {text}")
