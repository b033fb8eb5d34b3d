"""Tokens and fields that dispatchers use, and the requests made of them."""

from __future__ import annotations

import re
import time
from collections.abc import Callable

from oakkeel.admission.types import Idempotency, NodeLimits, RequestClass, Tenant
from oakkeel.dispatch.resp import encode
from oakkeel.errors import OakkeelError
from oakkeel.request import NodeRequest, ResponseChannel
from oakkeel.resource_limits import ResourceLimits
from oakkeel.units import MS

CALL, CANCEL, CHECK = b"CALL", b"CANCEL", b"CHECK"
COMPLETED, REJECTED, FAILED = b"ok", b"full", b"fault"
HEALTHY, UNHEALTHY = b"yes", b"no"
LAST = encode(b"0", b"last")
MALFORMED_STREAM = encode(b"0", FAILED)  # to one whose bytes can't be read: no tag of its own is known
FlowKeyReader = Callable[[Callable[[bytes], bytes]], tuple[tuple[int, bytes], ...]]
# The field by which duplicates are known. A subject says that two reads ask for the same; of two
# non-idempotent requests it says nothing.
KEY_FIELDS = {Idempotency.IDEMPOTENCY_KEY: b"opkey", Idempotency.IDEMPOTENT: b"subject"}
REQUEST_ID = re.compile(rb"[0-9a-fA-F]{16}")

# What may identify a flow, as operators' settings name it; any other name is that of a field.
FLOW_FIELDS = {"tenant": b"owner", "caller": b"via", "subject": b"subject"}


def flow_fields(names: tuple[str, ...]) -> tuple[bytes, ...]:
    """Return the request fields that operators' settings name."""
    return tuple(FLOW_FIELDS.get(name, name.encode()) for name in names)


class MalformedRequestError(OakkeelError, ValueError):
    """An array whose tag is valid but whose request class or fields are not."""


class RequestReader:
    """Makes requests of the tokens of a CALL, by the request classes and tenants of this node."""

    def __init__(
        self,
        limits: NodeLimits,
        class_names: list[str],
        tenant_names: list[str],
        resource_limits: ResourceLimits,
        unix_ns: Callable[[], int] = time.time_ns,
        flow_keys: FlowKeyReader | None = None,
    ) -> None:
        """`flow_keys` makes the flow keys of a request from its fields, where sharing is fair."""
        self._resource_limits, self._flow_keys, self._unix_ns = resource_limits, flow_keys, unix_ns
        self._classes: dict[bytes, RequestClass] = {
            name.encode(): request_class
            for name, request_class in zip(class_names, limits.request_classes, strict=False)
        }
        self._tenants: dict[bytes, Tenant] = {
            name.encode(): tenant for name, tenant in zip(tenant_names, limits.tenants, strict=False)
        }

    def read(self, tag: int, tokens: list[bytes], connection: ResponseChannel) -> NodeRequest:
        """Make a request of the tokens of a CALL. Raises MalformedRequestError."""
        if len(tokens) not in (4, 5):
            raise MalformedRequestError("too few or many words")
        request_class = self._classes.get(tokens[2])
        if request_class is None:
            raise MalformedRequestError("an unknown endpoint group")
        body = tokens[4] if len(tokens) == 5 else b""
        fields = dict(item.partition(b"=")[::2] for item in tokens[3].split(b",") if item)
        request_id = fields.get(b"req", b"")
        if not REQUEST_ID.fullmatch(
            request_id
        ):  # it goes into lines to the engine and the catalogue as it is
            raise MalformedRequestError("no id")
        if len(body) > self._resource_limits.max_body_size:
            raise MalformedRequestError("a body that is too long")
        age = self._age(fields)
        timeout = self._client_timeout(fields)
        if b"level" in fields:
            self._number(fields, b"level", 1.0)
        key_field = KEY_FIELDS.get(request_class.idempotency)
        key = fields.get(key_field, b"") if key_field else b""
        return NodeRequest(
            request_class=request_class,
            tenant=self._tenants.get(fields.get(b"owner", b"")),
            client=int(self._number(fields, b"via", 1e15)) if b"via" in fields else 0,
            memory_kb=self._number(fields, b"need", self._resource_limits.max_memory_kb),
            retry_attempt=fields.get(b"resent") == b"1",
            remaining_time=max(1, min(timeout, request_class.client_timeout) - age) if timeout else 0,
            queueing_delay=age,
            has_key=bool(key),
            is_duplicate=False,
            request_id=request_id,
            tag=tag,
            class_name=tokens[2],
            body=body,
            cache_key=(request_class.index, fields.get(b"owner", b""), key) if key else None,
            connection=connection,
            flow_keys=self._flow_keys(lambda name: fields.get(name, b"")) if self._flow_keys else (),
        )

    def _age(self, fields: dict[bytes, bytes]) -> int:
        """Nanoseconds since the request was stamped.

        A figure out of range would live on in the measurements of the admission controller: one timestamp of
        long ago took a node out of rotation for seconds.
        """
        if b"ts" not in fields:
            return 0
        age = self._unix_ns() - int(self._number(fields, b"ts", 1e15) * MS)
        if abs(age) > self._resource_limits.max_clock_skew:
            raise MalformedRequestError("a stamp far from now")
        return max(0, age)

    def _client_timeout(self, fields: dict[bytes, bytes]) -> int:
        """Nanoseconds from its timestamp that the client waits; 0 where it does not say."""
        if b"timeout" not in fields:
            return 0
        return int(self._number(fields, b"timeout", self._resource_limits.max_client_timeout / MS) * MS)

    @staticmethod
    def _number(fields: dict[bytes, bytes], name: bytes, limit: float) -> float:
        """The value of a field as a number from 0 to below a limit."""
        try:
            value = float(fields.get(name, b"none"))
        except ValueError:
            value = -1.0
        if not 0 <= value < limit:
            raise MalformedRequestError(f"no number in range in {name.decode()}")
        return value


def encode_answer(
    tag: int,
    status: bytes,
    load_report: float | None,
    body: bytes = b"",
    last: bool = False,
    retry_after: int = 0,
) -> bytes:
    """Encode an answer, or the answer to a check, with the load report; `retry_after` in nanoseconds."""
    fields = []
    if load_report is not None:
        fields.append(b"signal=%.4f" % load_report)
    if retry_after:
        fields.append(b"holdoff=%d" % max(1, round(retry_after / MS)))
    if last:
        fields.append(b"nomore=1")
    return encode(b"%d" % tag, status, b",".join(fields), body)
