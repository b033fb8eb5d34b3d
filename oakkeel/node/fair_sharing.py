"""Fair sharing on a node: flow keys, snapshot and status. Imported only if fair sharing is configured."""

from __future__ import annotations

import asyncio
import os
import time

from oakkeel.admission.types import FairSharingRules
from oakkeel.control.messages import ClientsStatus, ClientUsage
from oakkeel.dispatch.codec import flow_fields
from oakkeel.fair_sharing import persistence
from oakkeel.fair_sharing.heavy_hitters import Flow
from oakkeel.fair_sharing.keys import SECRET_BYTES, FlowKeys
from oakkeel.log import EventLog
from oakkeel.node.host import NodeHost
from oakkeel.store import snapshot_file
from oakkeel.units import SECOND

SNAPSHOT_INTERVAL_NS = 5 * SECOND
MIN_RATE = 1e-9  # avoids a division by zero: the rate of a flow is estimated from below and can be 0


class NodeFairSharing:
    """The fair-sharing state of one node, restored from its snapshot and written there."""

    def __init__(self, host: NodeHost, log: EventLog, rules: FairSharingRules, snapshot_path: str) -> None:
        """Read the snapshot at `snapshot_path`; with an empty path, no snapshot is read or written."""
        self.host = host
        self.log = log
        self.rules = rules
        self.snapshot_path = snapshot_path
        self.loaded_snapshot = self._read_snapshot()
        # The keys of flows depend on the secret: those of a snapshot need the secret of the snapshot.
        self.secret = self.loaded_snapshot.secret if self.loaded_snapshot else os.urandom(SECRET_BYTES)
        self.keys = FlowKeys(self.secret, flow_fields(rules.levels))
        self.write_timer: asyncio.TimerHandle | None = None

    def _read_snapshot(self) -> persistence.FairSharingSnapshot | None:
        if not self.snapshot_path:
            return None
        try:
            content = snapshot_file.read(self.snapshot_path)
            if content is not None:
                return persistence.decode_snapshot(content, time.time_ns(), self.rules.levels)
        except persistence.SnapshotRejectedError as error:
            self.log.warning("fair_sharing_snapshot_rejected", reason=str(error))
        except (snapshot_file.SnapshotError, OSError) as error:
            quarantined = snapshot_file.quarantine(self.snapshot_path)
            self.log.warning("fair_sharing_snapshot_quarantined", reason=str(error), file=quarantined)
        return None

    def start(self) -> None:
        """Restore the snapshot and start its periodic writes, once the admission controller has started."""
        fair_sharing = self.host.admission.fair_sharing
        if self.loaded_snapshot and fair_sharing:
            persistence.restore_snapshot(
                self.loaded_snapshot,
                time.monotonic_ns(),
                time.time_ns(),
                fair_sharing.shares,
                fair_sharing.reservations,
            )
            self.log.info(
                "fair_sharing_snapshot_restored",
                flows=len(fair_sharing.shares.tables[-1].flows),
                reservations=fair_sharing.reservations.open_count,
            )
        self.loaded_snapshot = None
        if self.snapshot_path:
            self._write_periodically()

    def _write_periodically(self) -> None:
        self.write_snapshot()
        self.write_timer = asyncio.get_running_loop().call_later(
            SNAPSHOT_INTERVAL_NS / SECOND, self._write_periodically
        )

    def write_snapshot(self) -> None:
        """Write the snapshot, if a path is configured and admission has started."""
        fair_sharing = self.host.admission.fair_sharing if self.host.is_started else None
        if not self.snapshot_path or fair_sharing is None:
            return
        try:
            snapshot_file.write(
                self.snapshot_path,
                persistence.encode_snapshot(
                    time.monotonic_ns(),
                    time.time_ns(),
                    self.rules.levels,
                    self.secret,
                    fair_sharing.shares,
                    fair_sharing.reservations,
                ),
            )
        except OSError as error:
            self.log.error("fair_sharing_snapshot_write_failed", error=str(error))

    def stop(self) -> None:
        """Stop the periodic writes and write the snapshot for the last time."""
        if self.write_timer:
            self.write_timer.cancel()
        self.write_snapshot()

    def reload(self, rules: FairSharingRules | None) -> None:
        """Use new weights at once; the levels of flows can only change with a restart of the node."""
        if rules is None or rules.levels != self.rules.levels:
            self.log.warning(
                "flow_key_change_ignored",
                old_levels="/".join(self.rules.levels),
                new_levels="/".join(rules.levels) if rules else "",
            )
            return
        self.rules.weights.clear()
        self.rules.weights.update(rules.weights)
        self.log.info("flow_weights_reloaded", weights=len(rules.weights))

    def clients_status(self, tag: int, limit: int) -> ClientsStatus:
        """Return at most `limit` clients: the flows of the innermost level with the highest rates."""
        fair_sharing = self.host.admission.fair_sharing
        now = time.monotonic_ns()
        if fair_sharing is None:
            return ClientsStatus(tag, list(self.rules.levels))
        table = fair_sharing.shares.tables[-1]
        reservations = fair_sharing.reservations
        total_rate = table.total_rate(now) or 1.0
        heaviest = sorted(table.flows.values(), key=lambda flow: -table.rate(now, flow))[:limit]
        return ClientsStatus(
            tag,
            flow_key=list(self.rules.levels),
            tracked_count=len(table.flows),
            untracked_max_share=table.error_rate(now) / total_rate,
            reservations_open=reservations.open_count,
            reservations_made=reservations.booked_count,
            reservations_honored=reservations.honored_count,
            reservations_broken=reservations.broken_count,
            reservations_expired=reservations.expired_count,
            clients=[
                ClientUsage(
                    name=_flow_path(flow),
                    demand=table.rate(now, flow) / total_rate,
                    retries=table.retry_rate(now, flow) / total_rate,
                    fair_fraction=min(1.0, flow.allowed_rate / max(MIN_RATE, table.rate(now, flow))),
                )
                for flow in heaviest
            ],
        )


def _flow_path(flow: Flow) -> str:
    prefix = _flow_path(flow.parent) + "/" if flow.parent else ""
    return prefix + flow.label.decode(errors="replace")
