"""Fair shares on a node: who sends, what of it outlives the process, what is told. Loaded where asked for."""

from __future__ import annotations

import asyncio
import os
import time

from oakkeel.admission.types import FairSharingRules
from oakkeel.control.messages import ClientsStatus, ClientUsage
from oakkeel.dispatch.codec import flow_fields
from oakkeel.fair_sharing import persistence
from oakkeel.fair_sharing.heavy_hitters import Flow
from oakkeel.fair_sharing.keys import SECRET, FlowKeys
from oakkeel.node.context import NodeContext
from oakkeel.resource_limits import SECOND
from oakkeel.store import snapshot_file

KEEP_EVERY = 5 * SECOND


class NodeFairSharing:
    """The measures of one node, taken up from its snapshot and kept there."""

    def __init__(self, node: NodeContext, rules: FairSharingRules, path: str) -> None:
        """`path` of the snapshot; empty: none is kept."""
        self.node, self.rules, self.path = node, rules, path
        self.found = self._read()
        self.secret = self.found.secret if self.found else os.urandom(SECRET)
        self.keys = FlowKeys(self.secret, flow_fields(rules.levels))
        self.timer: asyncio.TimerHandle | None = None

    def _read(self) -> persistence.FairSharingSnapshot | None:
        if not self.path:
            return None
        try:
            content = snapshot_file.read(self.path)
            return (
                None
                if content is None
                else persistence.decode_snapshot(content, time.time_ns(), self.rules.levels)
            )
        except persistence.SnapshotRejectedError as error:
            self.node.log.warning("fair_sharing_snapshot_rejected", reason=str(error))
        except (snapshot_file.SnapshotError, OSError) as error:
            aside = snapshot_file.quarantine(self.path)
            self.node.log.warning("fair_sharing_snapshot_quarantined", reason=str(error), file=aside)
        return None

    def begin(self) -> None:
        """The decisions are there: they begin with what an earlier process knew."""
        fair = self.node.host.admission.fair_sharing
        if self.found and fair:
            persistence.restore_snapshot(
                self.found, time.monotonic_ns(), time.time_ns(), fair.shares, fair.reservations
            )
            self.node.log.info(
                "fair_sharing_snapshot_restored",
                senders=len(fair.shares.tables[-1].flows),
                promises=fair.reservations.open_count,
            )
        self.found = None
        if self.path:
            self._keep_again()

    def _keep_again(self) -> None:
        self.keep()
        self.timer = asyncio.get_running_loop().call_later(KEEP_EVERY / SECOND, self._keep_again)

    def keep(self) -> None:
        """Write the snapshot, where there is a place for it."""
        fair = self.node.host.admission.fair_sharing if self.node.host.begun else None
        if not self.path or fair is None:
            return
        try:
            snapshot_file.write(
                self.path,
                persistence.encode_snapshot(
                    time.monotonic_ns(),
                    time.time_ns(),
                    self.rules.levels,
                    self.secret,
                    fair.shares,
                    fair.reservations,
                ),
            )
        except OSError as error:
            self.node.log.error("fair_sharing_snapshot_write_failed", error=str(error))

    def end(self) -> None:
        if self.timer:
            self.timer.cancel()
        self.keep()

    def reload(self, rules: FairSharingRules | None) -> None:
        """New weights hold at once; who counts as one sender stays as it was at the start."""
        if rules is None or rules.levels != self.rules.levels:
            return self.node.log.warning("flow_key_change_ignored")
        self.rules.weights.clear()
        self.rules.weights.update(rules.weights)
        self.node.log.info("flow_weights_reloaded", weights=len(rules.weights))

    def clients_status(self, tag: int, limit: int) -> ClientsStatus:
        """The heaviest senders by now, innermost level."""
        fair, now = self.node.host.admission.fair_sharing, time.monotonic_ns()
        if fair is None:
            return ClientsStatus(tag, list(self.rules.levels))
        table, promises = fair.shares.tables[-1], fair.reservations
        total = table.total_rate(now) or 1.0
        heaviest = sorted(table.flows.values(), key=lambda each: -table.rate(now, each))[:limit]
        return ClientsStatus(
            tag,
            list(self.rules.levels),
            len(table.flows),
            table.error_rate(now) / total,
            promises.open_count,
            promises.booked_count,
            promises.kept_count,
            promises.broken_count,
            promises.expired_count,
            [
                ClientUsage(
                    _path(each),
                    table.rate(now, each) / total,
                    table.retry_rate(now, each) / total,
                    min(1.0, each.allowed_rate / max(1e-9, table.rate(now, each))),
                )
                for each in heaviest
            ],
        )


def _path(sender: Flow) -> str:
    outer = _path(sender.parent) + "/" if sender.parent else ""
    return outer + sender.label.decode(errors="replace")
