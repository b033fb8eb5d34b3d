"""Fair sharing: whose request is over its fair share, and when a rejected client may come back.

Weighted max-min shares of service time, of which there is as much as may run: a slower node allows less.
The measures are in `oakkeel.fair_sharing`.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from oakkeel.admission.types import FairSharingRules, Request, RequestState, ShareStanding
from oakkeel.fair_sharing.max_min import MaxMinShares
from oakkeel.fair_sharing.reservations import Reservations
from oakkeel.resource_limits import MS, SECOND

EVERY = 200 * MS  # between looks at the shares
ROOM = 0.95  # of what the node can do, for all together
BURST = 500 * MS  # of its share, that a sender may have at once
PROMISED_ROOM = 0.5  # of what the node can do, for promises
STEP, STEPS = 50 * MS, 200  # of time ahead that can be promised
EARLY, LATE = 25 * MS, SECOND  # from a promise's time, and still as told
EARLY_MOST = 8  # times that coming early puts a promise off
RETRY_SHARE = 0.2  # of a sender's work, for its further tries


class FairSharing:
    """Decides the standing of requests and the times of retries by the shares of their flows."""

    def __init__(self, rules: FairSharingRules, marks_retries: bool, chance: Callable[[], float]) -> None:
        """Start with no flow known."""
        self.marks_retries, self.chance = marks_retries, chance
        self.levels = MaxMinShares(len(rules.levels), rules.max_flows, rules.half_life, rules.weights)
        self.promises = Reservations(STEP, STEPS, rules.max_reservations)
        self.room, self.looked = 0.0, 0  # for promises in one step; when shares were set

    def arrive(self, now: int, request: Request, work: float, capacity: float) -> None:
        """Count an exchange with its senders; say whether it is over its share, within it, or promised."""
        if now - self.looked >= EVERY:
            self.looked, self.room = now, capacity * PROMISED_ROOM * STEP
            self.levels.share_out(now, capacity * ROOM * SECOND)
        key, again = request.flow_keys[-1][0], request.retry_attempt or not self.marks_retries
        request.reservation = self.promises.due(now, key, EARLY, LATE) if again else None  # as it was told
        request.expected_work, asked = work, 0.0 if request.reservation else work  # and asks for nothing new
        sender = request.flow = self.levels.count(now, request.flow_keys, asked, request.retry_attempt)
        if request.reservation and request.reservation.work:
            request.share_standing = ShareStanding.RESERVED
            return
        if request.reservation:  # told a time, and no room: it is judged as any other
            self.promises.end(request.reservation, None)
            request.reservation = None
        elif again and (ahead := self.promises.ahead(key)):
            request.share_standing = ShareStanding.OVER_SHARE  # to try early gains nothing, and waits longer
            if ahead.early < EARLY_MOST and self.promises.all_known(key):
                own = min(SECOND, int(work / max(1.0, sender.allowed) * SECOND))
                self.promises.put_off(now, ahead, ahead.at + max(STEP, own), self.room)
            return
        known = self.levels.known(now, sender)
        if sender.allowed < inf:
            over = sender.free_at > now + BURST
        else:
            rest = self.levels.kept_of_rest(sender)
            over = rest < 1 and not known and self.chance() > rest
        tries = request.retry_attempt and known and sender.retries > RETRY_SHARE * sender.count
        request.share_standing = ShareStanding.OVER_SHARE if over or tries else ShareStanding.WITHIN_SHARE
        if request.share_standing is ShareStanding.WITHIN_SHARE:  # though its overload may still reject it
            self._charge(now, request)

    def _charge(self, now: int, request: Request) -> None:
        if request.flow.allowed < inf:
            took = int(request.expected_work / max(1.0, request.flow.allowed) * SECOND)
            request.flow.free_at = max(request.flow.free_at, now) + took

    def return_after(self, now: int, request: Request, most: int) -> int:
        """How long one that is denied should stay away: until room that is its own, if that can be told."""
        sender, known = request.flow, request.flow.allowed < inf
        if request.reservation and request.state is RequestState.READ:
            self.promises.end(request.reservation, False)  # the room was not enough
        if request.share_standing is ShareStanding.OVER_SHARE and not known:
            return most  # one of many who share too little to promise them any
        own = sender.free_at - BURST if known else now
        promise = None
        # Nothing more for one that came early.
        if request.share_standing is not ShareStanding.OVER_SHARE or not request.retry_attempt:
            promise = self.promises.book(now, max(now, own), sender.key, request.expected_work, self.room)
        if promise and promise.at - now <= most:
            self._charge(now, request)
            return promise.at - now
        if promise:  # longer than callers take: not made, so not broken
            self.promises.end(promise, None)
        self.promises.note(now + most, sender.key)
        return most
