"""The table of instances: each record of a batch becomes one call on the instance that it names."""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any

from oakkeel.simulator_adapter import wire
from oakkeel.simulator_adapter.instance import OUTCOMES, Instance


class InstanceTable:
    """Many instances that share nothing but the frames."""

    def __init__(self) -> None:
        """Start with no instance."""
        self.instances: dict[int, Instance] = {}
        self.reply = wire.Reply()
        self.tail = 0  # where the tail of the current batch begins
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
        """Hand out the records of a batch, schedule each instance that had one, and return the reply."""
        touched: dict[int, Instance] = {}
        self.tail = count * wire.EVENT_SIZE
        for offset in range(0, self.tail, wire.EVENT_SIZE):
            handler = self.handlers.get(body[offset]) or wire.fail(
                f"batch {number}: unknown event code {body[offset]}"
            )
            instance_id = wire.KILLED.unpack_from(body, offset)[1]
            instance = self._guarded(instance_id, handler, clock, body, offset)
            if instance is not None:
                touched[instance_id] = instance
            else:
                touched.pop(instance_id, None)
        for instance_id, instance in touched.items():
            self._guarded(instance_id, instance.admission.schedule, clock)
        return self.reply.frame(number)

    def _guarded(
        self, instance_id: int, handler: Callable[..., Instance | None], *arguments: Any
    ) -> Instance | None:
        """Report what the decisions raise as a record; a frame that can't be read is raised."""
        try:
            return handler(*arguments)
        except (wire.WireError, UnicodeDecodeError):
            raise
        except Exception as error:  # the boundary of the decisions: the simulator stops with the text
            self.reply.add_text(wire.INTERNAL_ERROR, instance_id, f"{type(error).__name__}: {error}")
            return None

    def _instance(self, instance_id: int) -> Instance:
        return self.instances.get(instance_id) or wire.fail(f"event for unknown instance {instance_id}")

    def _provision(self, clock: int, body: bytes, offset: int) -> Instance:
        _, instance_id, seed, start, length = wire.PROVISION.unpack_from(body, offset)
        start += self.tail
        if start + length > len(body):
            wire.fail(f"settings of instance {instance_id} reach past the end of the batch")
        text = body[start : start + length].decode()
        instance = self.instances[instance_id] = Instance(instance_id, seed, text, clock, self.reply)
        return instance

    def _incoming(self, clock: int, body: bytes, offset: int) -> Instance:
        fields = wire.INCOMING.unpack_from(body, offset)
        instance = self._instance(fields[1])
        instance.incoming(clock, fields)
        return instance

    def _ended(self, clock: int, body: bytes, offset: int) -> Instance:
        code, instance_id, request_id, status, latency = wire.ENDED.unpack_from(body, offset)
        instance = self._instance(instance_id)
        outcome = OUTCOMES.get(status) or wire.fail(f"unknown outcome {status} on instance {instance_id}")
        admission, request = instance.admission, instance.request_of(request_id)
        finish = admission.run_finished if code == wire.EV_WORK_DONE else admission.call_finished
        finish(clock, request, outcome, latency)
        return instance

    def _named(self, clock: int, body: bytes, offset: int) -> Instance:
        code, instance_id, value = wire.NAMED.unpack_from(body, offset)
        instance = self._instance(instance_id)
        if code == wire.EV_LAME_DUCK:
            instance.admission.drain(clock, value)
        else:
            admission, request = instance.admission, instance.request_of(value)
            handle = admission.call_needed if code == wire.EV_AWAITING else admission.client_disconnected
            handle(clock, request)
        return instance

    def _timer(self, clock: int, body: bytes, offset: int) -> Instance:
        _, instance_id, token, number = wire.TIMER.unpack_from(body, offset)
        instance = self._instance(instance_id)
        if number > wire.MOST_GAUGES:
            wire.fail(f"{number} gauges do not fit a record of instance {instance_id}")
        values = struct.unpack_from(f"<{number}f", body, offset + wire.TIMER.size)
        instance.admission.timer_expired(clock, token, instance.read_gauges(values))
        return instance

    def _killed(self, clock: int, body: bytes, offset: int) -> None:
        instance_id = self._instance(wire.KILLED.unpack_from(body, offset)[1]).number
        del self.instances[instance_id]
