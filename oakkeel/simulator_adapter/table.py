"""The table of instances: each record of a batch becomes one call on the instance that it names."""

from __future__ import annotations

import struct
from collections.abc import Callable

from oakkeel.simulator_adapter import wire
from oakkeel.simulator_adapter.instance import OUTCOMES, Instance


class InstanceTable:
    """Many instances that share nothing but the frames."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.reply = wire.Reply()
        self.tail = 0  # where the tail of the batch in hand begins
        self.handlers: dict[int, Callable[[int, bytes, int], Instance | None]] = {
            wire.EV_PROVISION: self._provision,
            wire.EV_INCOMING: self._incoming,
            wire.EV_WORK_DONE: self._ended,
            wire.EV_CALL_DONE: self._ended,
            wire.EV_AWAITING: self._named,
            wire.EV_GONE: self._named,
            wire.EV_LAME_DUCK: self._named,
            wire.EV_TIMER: self._timer,
            wire.EV_KILLED: self._killed,
        }

    def batch(self, number: int, clock: int, count: int, body: bytes) -> bytes:
        """Hand out the records of a batch, settle each instance that had one, and return the reply."""
        touched: dict[int, Instance] = {}
        self.tail = count * wire.EVENT_SIZE
        for offset in range(0, self.tail, wire.EVENT_SIZE):
            handler = self.handlers.get(body[offset]) or wire.fail(
                f"batch {number}: unknown event code {body[offset]}"
            )
            who = wire.KILLED.unpack_from(body, offset)[1]
            instance = self._guarded(who, handler, clock, body, offset)
            if instance is not None:
                touched[who] = instance
            else:
                touched.pop(who, None)
        for who, instance in touched.items():
            self._guarded(who, instance.admission.schedule, clock)
        return self.reply.frame(number)

    def _guarded(self, who: int, act: Callable[..., Instance | None], *words) -> Instance | None:
        """Declare what the decisions raise on the wire; a frame that can't be read goes on up."""
        try:
            return act(*words)
        except (wire.WireError, UnicodeDecodeError):
            raise
        except Exception as error:  # whatever the module raises ends the day with its text
            self.reply.add_text(wire.INTERNAL_ERROR, who, f"{type(error).__name__}: {error}")
            return None

    def _instance(self, who: int) -> Instance:
        return self.instances.get(who) or wire.fail(f"event for unknown instance {who}")

    def _provision(self, clock: int, body: bytes, offset: int) -> Instance:
        _, who, seed, start, length = wire.PROVISION.unpack_from(body, offset)
        start += self.tail
        if start + length > len(body):
            wire.fail(f"settings of instance {who} reach past the end of the batch")
        text = body[start : start + length].decode()
        instance = self.instances[who] = Instance(who, seed, text, clock, self.reply)
        return instance

    def _incoming(self, clock: int, body: bytes, offset: int) -> Instance:
        fields = wire.INCOMING.unpack_from(body, offset)
        instance = self._instance(fields[1])
        instance.incoming(clock, fields)
        return instance

    def _ended(self, clock: int, body: bytes, offset: int) -> Instance:
        code, who, ident, status, latency = wire.ENDED.unpack_from(body, offset)
        instance = self._instance(who)
        outcome = OUTCOMES.get(status) or wire.fail(f"unknown outcome {status} on instance {who}")
        ended = (
            instance.admission.run_finished if code == wire.EV_WORK_DONE else instance.admission.call_finished
        )
        ended(clock, instance.exchange(ident), outcome, latency)
        return instance

    def _named(self, clock: int, body: bytes, offset: int) -> Instance:
        code, who, value = wire.NAMED.unpack_from(body, offset)
        instance = self._instance(who)
        if code == wire.EV_LAME_DUCK:
            instance.admission.drain(clock, value)
        else:
            act = (
                instance.admission.call_needed
                if code == wire.EV_AWAITING
                else instance.admission.client_disconnected
            )
            act(clock, instance.exchange(value))
        return instance

    def _timer(self, clock: int, body: bytes, offset: int) -> Instance:
        _, who, token, number = wire.TIMER.unpack_from(body, offset)
        instance = self._instance(who)
        if number > wire.MOST_GAUGES:
            wire.fail(f"{number} gauges do not fit a record of instance {who}")
        values = struct.unpack_from(f"<{number}f", body, offset + wire.TIMER.size)
        instance.admission.timer_expired(clock, token, instance.read_gauges(values))
        return instance

    def _killed(self, clock: int, body: bytes, offset: int) -> None:
        who = self._instance(wire.KILLED.unpack_from(body, offset)[1]).number
        del self.instances[who]
