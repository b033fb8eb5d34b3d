"""The settings of a node, read into `NodeLimits`: from path=value text or from nested JSON.

Times are nanoseconds. Unknown paths are skipped. A value that can't be parsed raises a `LimitsError` of one
line.
"""

from __future__ import annotations

from typing import NoReturn, TypeAlias, TypeVar

from oakkeel.admission.types import (
    DownstreamKind,
    Idempotency,
    LoadReportKind,
    NodeLimits,
    RequestClass,
    StopKind,
    Tenant,
)
from oakkeel.errors import OakkeelError

Choice = TypeVar("Choice")
JsonValue: TypeAlias = "bool | int | float | str | list[JsonValue] | dict[str, JsonValue] | None"

# The values in the settings (the keys of these tables) are mapped to the terms of the code only here; the
# paths are mapped in `read_limits` and `_request_class`.
IDEMPOTENCY = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.IDEMPOTENCY_KEY,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
STOP_KINDS = {"silent": StopKind.NONE, "abort": StopKind.ABORT, "suspend": StopKind.SUSPEND}
LOAD_REPORTS = {
    "silent": LoadReportKind.NONE,
    "threshold": LoadReportKind.MINIMUM_RANK,
    "window": LoadReportKind.CONCURRENCY_LIMIT,
    "share_of": LoadReportKind.ADVERTISED_SHARE,
}
DOWNSTREAMS = {"silent": DownstreamKind.NONE, "shared": DownstreamKind.SHARED, "tier": DownstreamKind.TIER}
GAUGES = {
    "core_use": "core_busy",
    "on_cores": "run_queue",
    "heap_share": "memory_share",
    "links": "connections",
}


class LimitsError(OakkeelError, ValueError):
    """The settings of a node can't be parsed, or lack a required value."""


def raise_limits_error(text: str) -> NoReturn:
    """Raise a `LimitsError`."""
    raise LimitsError(text)


def flatten_json(value: JsonValue, path: str = "") -> dict[str, str]:
    """Return nested JSON as values by path, as in the text form.

    Plain lists are joined by commas; a list of objects has a `count` and an index for each object.
    """
    if isinstance(value, dict):
        children = [(f"{path}.{name}" if path else str(name), item) for name, item in value.items()]
    elif isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        children = [(f"{path}.{index}", item) for index, item in enumerate(value)]
        children.append((f"{path}.count", len(value)))
    elif isinstance(value, list):
        return {path: ",".join(_format_scalar(item) for item in value)}
    else:
        return {path: _format_scalar(value)}
    return {name: text for prefix, item in children for name, text in flatten_json(item, prefix).items()}


def _format_scalar(value: JsonValue) -> str:
    if value is None:
        return ""
    return str(value).lower() if isinstance(value, bool) else str(value)


class Settings:
    """Settings by path; `get` returns a default for an absent path, `required` raises an error."""

    def __init__(self, values: dict[str, str]) -> None:
        """Take settings by path."""
        self.values = values

    @classmethod
    def from_text(cls, text: str) -> Settings:
        """Parse lines of path=value; other lines are skipped."""
        return cls(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))

    def get(self, path: str, default: str) -> str:
        """Return a value, or the default if it is absent or empty."""
        return self.values.get(path) or default

    def required(self, path: str) -> str:
        """Return a value. Raises `LimitsError` if it is absent or empty."""
        return self.values.get(path) or raise_limits_error(f"the settings lack {path}")

    def number(self, path: str, default: float = 0.0) -> float:
        """Return a number, or the default if it is absent."""
        return self._parse(path, self.get(path, str(default)))

    def time(self, path: str) -> int:
        """Return a time in nanoseconds, or 0 if it is absent."""
        return int(self.number(path))

    def required_number(self, path: str) -> float:
        """Return a number. Raises `LimitsError` if it is absent."""
        return self._parse(path, self.required(path))

    def read_flag(self, path: str) -> bool:
        """Return whether the value is `true`."""
        return self.get(path, "false") == "true"

    def entry(self, path: str, index: int, default: str) -> str:
        """Return an entry of a comma-separated list, or the default if it is absent or empty."""
        parts = self.get(path, "").split(",")
        return parts[index] if index < len(parts) and parts[index] else default

    def choice(self, path: str, choices: dict[str, Choice], default: str) -> Choice:
        """Return the value that `choices` has for the setting. Raises `LimitsError` for an unknown value."""
        value = self.get(path, default)
        if value not in choices:
            raise_limits_error(
                f"the settings have an unknown value: {path}={value}, expected one of {', '.join(choices)}"
            )
        return choices[value]

    @staticmethod
    def _parse(path: str, value: str) -> float:
        try:
            return float(value)
        except ValueError:
            raise_limits_error(f"the settings have a value that is no number: {path}={value}")

    def gauges(self) -> list[str | None]:
        """Return the fields of `Gauges` in the order of the gauge values; None for an unused value."""
        return [GAUGES.get(name) for name in self.get("extra.gauges", "").split(",")]

    def names(self, path: str) -> list[str]:
        """Return the names of a list of objects."""
        return [self.get(f"{path}.{index}.name", "") for index in range(int(self.number(f"{path}.count")))]


def read_limits(settings: Settings) -> NodeLimits:
    """Return the limits of a node; times in the settings are in nanoseconds, too."""
    gives_retry_after = settings.read_flag("ceilings.retry-after")
    max_retry_after = settings.time("ceilings.max-retry-after") if gives_retry_after else 0
    return NodeLimits(
        cores=int(settings.required_number("extra.cores")),
        memory_kb=settings.required_number("extra.heap-kb"),
        running_memory_factor=settings.required_number("extra.run-factor"),
        key_kb=settings.number("extra.key-kb"),
        starts_cold=settings.read_flag("extra.cold"),
        slow_start_share=settings.number("obligations.cold-from", 1.0),
        slow_start_time=settings.time("obligations.cold"),
        overload_multiple=settings.required_number("obligations.fall-multiple"),
        drain_grace=settings.time("obligations.drain-grace"),
        marks_retries=settings.read_flag("clients.marks-retry"),
        max_retry_after=max_retry_after,
        stop_kind=settings.choice("extra.halt", STOP_KINDS, "silent"),
        peers=max(1, int(settings.number("peers-total", 1))),
        downstream=settings.choice("extra.depends-on", DOWNSTREAMS, "silent"),
        downstream_quota=settings.number("extra.call-share"),
        downstream_window=settings.time("extra.dep-window"),
        call_linger=settings.time("extra.linger"),
        cache_ttl=settings.time("extra.fresh"),
        idle_timeout=settings.time("extra.idle"),
        load_report=settings.choice("extra.say", LOAD_REPORTS, "silent"),
        excess_allowance_weight=settings.number("over-share-worth", 1.0),
        request_classes=[
            _request_class(settings, index) for index in range(int(settings.required_number("classes.count")))
        ],
        tenants=[
            Tenant(index, settings.number(f"tenants.{index}.allowance-per-s"))
            for index in range(int(settings.number("tenants.count")))
        ],
    )


def _request_class(settings: Settings, index: int) -> RequestClass:
    path = f"classes.{index}."
    client_timeout = int(settings.required_number(path + "hard-limit"))
    return RequestClass(
        index=index,
        idempotency=settings.choice(path + "effect", IDEMPOTENCY, "non_idempotent"),
        priority_weight=settings.number(path + "worth", 1.0),
        latency_objective=settings.time(path + "aim") or client_timeout,
        client_timeout=client_timeout,
        idempotency_window=settings.time(path + "window"),
        late_weight=settings.number(path + "late-worth"),
        degraded_weight=float(settings.entry("extra.class-skip-worth", index, "0")),
    )
