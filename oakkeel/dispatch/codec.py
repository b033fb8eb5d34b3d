"""The tokens and fields of the dispatchers' protocol, and the requests made from them."""

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

# Verbs and statuses.
CALL = b"CALL"
CANCEL = b"CANCEL"
CHECK = b"CHECK"
COMPLETED = b"ok"
REJECTED = b"full"
FAILED = b"fault"
HEALTHY = b"yes"
UNHEALTHY = b"no"
# Asks the dispatcher to send no more requests on the connection and to close it.
DRAIN_NOTICE = encode(b"0", b"last")
MALFORMED_STREAM = encode(b"0", FAILED)  # the tags of a stream that can't be parsed are unknown

# Fields of a request.
REQUEST_ID_FIELD = b"req"
TIMESTAMP_FIELD = b"ts"  # milliseconds of the wall clock
TIMEOUT_FIELD = b"timeout"  # milliseconds from the timestamp
TENANT_FIELD = b"owner"
CLIENT_FIELD = b"via"
SUBJECT_FIELD = b"subject"
IDEMPOTENCY_KEY_FIELD = b"opkey"
MEMORY_FIELD = b"need"  # KB
RETRY_FIELD = b"resent"
RETRY_VALUE = b"1"
LEVEL_FIELD = b"level"

# Fields of an answer.
LOAD_REPORT = b"signal=%.4f"
RETRY_AFTER = b"holdoff=%d"  # milliseconds
FINAL_REJECTION = b"nomore=1"  # no other node should be tried

FlowKeyReader = Callable[[Callable[[bytes], bytes]], tuple[tuple[int, bytes], ...]]
# The field that identifies duplicates. Idempotent reads with the same subject have the same result;
# non-idempotent requests with the same subject may not.
KEY_FIELDS = {Idempotency.IDEMPOTENCY_KEY: IDEMPOTENCY_KEY_FIELD, Idempotency.IDEMPOTENT: SUBJECT_FIELD}
REQUEST_ID = re.compile(rb"[0-9a-fA-F]{16}")  # copied into lines to the engine and the catalogue
# Positions of the tokens of a CALL: verb, tag, request class, fields, and an optional body.
CLASS_TOKEN = 2
FIELDS_TOKEN = 3
BODY_TOKEN = 4
CALL_TOKENS = 4
CALL_TOKENS_WITH_BODY = 5
MAX_FIELD_NUMBER = 1e15  # integers up to this limit are exact as floats

# Request fields by their names in the operators' settings of flows. Any other name in these settings is the
# name of the request field itself.
FLOW_FIELDS = {"tenant": TENANT_FIELD, "caller": CLIENT_FIELD, "subject": SUBJECT_FIELD}


def flow_fields(names: tuple[str, ...]) -> tuple[bytes, ...]:
    """Return the request fields that operators' settings name."""
    return tuple(FLOW_FIELDS.get(name, name.encode()) for name in names)


class MalformedRequestError(OakkeelError, ValueError):
    """A CALL whose tag is valid but whose request class, fields or body are not."""

    def __init__(self, message: str, request_id: bytes = b"") -> None:
        """Take a description of the fault, and the ID of the request if it was read."""
        super().__init__(message)
        self.request_id = request_id


class RequestReader:
    """Makes requests from the tokens of a CALL, with the request classes and tenants of this node."""

    def __init__(
        self,
        limits: NodeLimits,
        class_names: list[str],
        tenant_names: list[str],
        resource_limits: ResourceLimits,
        unix_ns: Callable[[], int] = time.time_ns,
        flow_keys: FlowKeyReader | None = None,
    ) -> None:
        """`flow_keys` makes the flow keys of a request from its fields, if fair sharing is on."""
        self._resource_limits = resource_limits
        self._flow_keys = flow_keys
        self._unix_ns = unix_ns
        self._classes: dict[bytes, RequestClass] = {
            name.encode(): request_class
            for name, request_class in zip(class_names, limits.request_classes, strict=False)
        }
        self._tenants: dict[bytes, Tenant] = {
            name.encode(): tenant for name, tenant in zip(tenant_names, limits.tenants, strict=False)
        }

    def read(self, tag: int, tokens: list[bytes], connection: ResponseChannel) -> NodeRequest:
        """Make a request from the tokens of a CALL. Raises MalformedRequestError."""
        if len(tokens) not in (CALL_TOKENS, CALL_TOKENS_WITH_BODY):
            raise MalformedRequestError(
                f"{len(tokens)} tokens, expected {CALL_TOKENS} or {CALL_TOKENS_WITH_BODY}"
            )
        request_class = self._classes.get(tokens[CLASS_TOKEN])
        if request_class is None:
            raise MalformedRequestError("unknown request class")
        body = tokens[BODY_TOKEN] if len(tokens) == CALL_TOKENS_WITH_BODY else b""
        fields = dict(item.partition(b"=")[::2] for item in tokens[FIELDS_TOKEN].split(b",") if item)
        request_id = fields.get(REQUEST_ID_FIELD, b"")
        if not REQUEST_ID.fullmatch(request_id):
            raise MalformedRequestError("req is not an ID of 16 hexadecimal digits")
        try:
            return self._read_fields(
                tag, tokens[CLASS_TOKEN], request_class, request_id, fields, body, connection
            )
        except MalformedRequestError as error:
            error.request_id = request_id
            raise

    def _read_fields(
        self,
        tag: int,
        class_name: bytes,
        request_class: RequestClass,
        request_id: bytes,
        fields: dict[bytes, bytes],
        body: bytes,
        connection: ResponseChannel,
    ) -> NodeRequest:
        if len(body) > self._resource_limits.max_body_size:
            raise MalformedRequestError(f"a body of more than {self._resource_limits.max_body_size} bytes")
        age = self._parse_request_age(fields)
        timeout = self._parse_client_timeout(fields)
        if LEVEL_FIELD in fields:
            self._parse_number(fields, LEVEL_FIELD, 1.0)  # validated only: the node does not use it
        key_field = KEY_FIELDS.get(request_class.idempotency)
        key = fields.get(key_field, b"") if key_field else b""
        return NodeRequest(
            request_class=request_class,
            tenant=self._tenants.get(fields.get(TENANT_FIELD, b"")),
            client=int(self._parse_number(fields, CLIENT_FIELD, MAX_FIELD_NUMBER))
            if CLIENT_FIELD in fields
            else 0,
            memory_kb=self._parse_number(fields, MEMORY_FIELD, self._resource_limits.max_memory_kb),
            retry_attempt=fields.get(RETRY_FIELD) == RETRY_VALUE,
            remaining_time=max(1, min(timeout, request_class.client_timeout) - age) if timeout else 0,
            queueing_delay=age,
            has_key=bool(key),
            is_duplicate=False,
            request_id=request_id,
            tag=tag,
            class_name=class_name,
            body=body,
            cache_key=(request_class.index, fields.get(TENANT_FIELD, b""), key) if key else None,
            connection=connection,
            flow_keys=self._flow_keys(lambda name: fields.get(name, b"")) if self._flow_keys else (),
        )

    def _parse_request_age(self, fields: dict[bytes, bytes]) -> int:
        """Return the nanoseconds since the timestamp of the request; 0 if it has none.

        An age out of range is rejected: the admission controller measures delays by the age, and a single
        very old timestamp would take the node out of rotation for seconds.
        """
        if TIMESTAMP_FIELD not in fields:
            return 0
        age = self._unix_ns() - int(self._parse_number(fields, TIMESTAMP_FIELD, MAX_FIELD_NUMBER) * MS)
        if abs(age) > self._resource_limits.max_clock_skew:
            raise MalformedRequestError(
                "the timestamp in ts is too far from the clock of this node: check both clocks"
            )
        return max(0, age)

    def _parse_client_timeout(self, fields: dict[bytes, bytes]) -> int:
        """Return the client's timeout in nanoseconds, counted from the timestamp; 0 if unknown."""
        if TIMEOUT_FIELD not in fields:
            return 0
        return int(
            self._parse_number(fields, TIMEOUT_FIELD, self._resource_limits.max_client_timeout / MS) * MS
        )

    @staticmethod
    def _parse_number(fields: dict[bytes, bytes], name: bytes, limit: float) -> float:
        """Return the value of a field as a number of at least 0 and less than `limit`."""
        try:
            value = float(fields.get(name, b"none"))
        except ValueError:
            value = -1.0
        if not 0 <= value < limit:
            raise MalformedRequestError(
                f"{name.decode()} is not a number of at least 0 and less than {limit:g}"
            )
        return value


def encode_answer(
    tag: int,
    status: bytes,
    load_report: float | None,
    body: bytes = b"",
    final: bool = False,
    retry_after: int = 0,
) -> bytes:
    """Encode an answer, or the answer to a check, with the load report.

    `final` says that no other node should be tried; `retry_after` is in nanoseconds, 0 for no advice.
    """
    fields = []
    if load_report is not None:
        fields.append(LOAD_REPORT % load_report)
    if retry_after:
        fields.append(RETRY_AFTER % max(1, round(retry_after / MS)))
    if final:
        fields.append(FINAL_REJECTION)
    return encode(b"%d" % tag, status, b",".join(fields), body)
