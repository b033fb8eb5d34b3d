"""The words and fields that dispatchers use, and the exchanges made of them."""

from __future__ import annotations

import re
import time
from collections.abc import Callable
from typing import Any

from oakkeel.admission.types import Idempotency, NodeLimits, RequestClass, Tenant
from oakkeel.dispatch.resp import encode
from oakkeel.request import NodeRequest
from oakkeel.resource_limits import MS, ResourceLimits

CALL, CANCEL, CHECK = b"CALL", b"CANCEL", b"CHECK"
COMPLETED, DENIED, TERMINATED = b"ok", b"full", b"fault"
GOOD, BAD = b"yes", b"no"
LAST = encode(b"0", b"last")
BROKEN = encode(b"0", TERMINATED)  # to one whose bytes can't be read: no tag of its own is known
FlowKeyReader = Callable[[Callable[[bytes], bytes]], tuple[tuple[int, bytes], ...]]
MARKS = {
    Idempotency.IDEMPOTENCY_KEY: b"opkey",
    Idempotency.IDEMPOTENT: b"subject",
}  # what repeats are known by
IDENT = re.compile(rb"[0-9a-fA-F]{16}")


# Who may count as one sender, in the words of operators' settings; any other word is the name of a field.
FLOW_FIELDS = {"tenant": b"owner", "caller": b"via", "subject": b"subject"}


def flow_fields(by: tuple[str, ...]) -> tuple[bytes, ...]:
    return tuple(FLOW_FIELDS.get(word, word.encode()) for word in by)


class UnreadableRequestError(ValueError):
    """An array whose tag is good but whose group or fields are not."""


class RequestReader:
    """Makes exchanges of the words of a CALL, by the endpoint groups and tenants of this node."""

    def __init__(
        self,
        limits: NodeLimits,
        groups: list[str],
        tenants: list[str],
        resource_limits: ResourceLimits,
        unix_ns: Callable[[], int] = time.time_ns,
        who: FlowKeyReader | None = None,
    ) -> None:
        """`who` makes the senders of an exchange from its fields, where shares are fair."""
        self.resource_limits, self.who = resource_limits, who
        self.groups: dict[bytes, RequestClass] = {
            name.encode(): group for name, group in zip(groups, limits.request_classes, strict=False)
        }
        self.tenants: dict[bytes, Tenant] = {
            name.encode(): tenant for name, tenant in zip(tenants, limits.tenants, strict=False)
        }
        self.unix_ns = unix_ns

    def read(self, tag: int, words: list[bytes], connection: Any) -> NodeRequest:
        if len(words) not in (4, 5):
            raise UnreadableRequestError("too few or many words")
        if words[2] not in self.groups:
            raise UnreadableRequestError("an unknown endpoint group")
        group = self.groups[words[2]]
        body = words[4] if len(words) == 5 else b""
        fields = dict(item.partition(b"=")[::2] for item in words[3].split(b",") if item)
        request_id = fields.get(b"req", b"")
        if not IDENT.fullmatch(request_id):  # it goes into lines to the engine and the catalogue as it is
            raise UnreadableRequestError("no id")
        if len(body) > self.resource_limits.max_body_size:
            raise UnreadableRequestError("a body that is too long")
        # How old it is, and how long its caller still waits, as of now: both count from its stamp. A figure
        # out of range would live on in what the decisions measure: one stamp of long ago took a node off the
        # list for seconds.
        age, waits = 0, 0
        if b"ts" in fields:
            age = self.unix_ns() - int(self._number(fields, b"ts", 1e15) * MS)
            if abs(age) > self.resource_limits.max_clock_skew:
                raise UnreadableRequestError("a stamp far from now")
            age = max(0, age)
        if b"timeout" in fields:
            waits = int(self._number(fields, b"timeout", self.resource_limits.max_client_timeout / MS) * MS)
        if b"level" in fields:
            self._number(fields, b"level", 1.0)
        # A subject tells that two reads ask for the same; of two mutating exchanges it tells nothing.
        mark = fields.get(MARKS[group.idempotency], b"") if group.idempotency in MARKS else b""
        return NodeRequest(
            request_class=group,
            tenant=self.tenants.get(fields.get(b"owner", b"")),
            client=int(self._number(fields, b"via", 1e15)) if b"via" in fields else 0,
            memory_kb=self._number(fields, b"need", self.resource_limits.max_memory_kb),
            retry_attempt=fields.get(b"resent") == b"1",
            remaining_time=max(1, min(waits, group.client_timeout) - age) if waits else 0,
            queueing_delay=age,
            has_key=bool(mark),
            is_duplicate=False,
            request_id=request_id,
            tag=tag,
            class_name=words[2],
            body=body,
            cache_key=(group.index, fields.get(b"owner", b""), mark) if mark else None,
            connection=connection,
            flow_keys=self.who(lambda name: fields.get(name, b"")) if self.who else (),
        )

    @staticmethod
    def _number(fields: dict[bytes, bytes], name: bytes, below: float) -> float:
        try:
            value = float(fields.get(name, b"none"))
        except ValueError:
            value = -1.0
        if not 0 <= value < below:
            raise UnreadableRequestError(f"no number in range in {name.decode()}")
        return value


def encode_answer(
    tag: int, word: bytes, signal: float | None, body: bytes = b"", last: bool = False, retry_after: int = 0
) -> bytes:
    """An answer, or the answer to a check, with the advice as it stands now."""
    fields = []
    if signal is not None:
        fields.append(b"signal=%.4f" % signal)
    if retry_after:
        fields.append(b"holdoff=%d" % max(1, round(retry_after / MS)))
    if last:
        fields.append(b"nomore=1")
    return encode(b"%d" % tag, word, b",".join(fields), body)
