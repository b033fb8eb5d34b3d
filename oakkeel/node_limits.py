"""What a node is told at its start, read into `NodeLimits`: from path=value text or from nested JSON.

Unknown paths are skipped. A front that fails to read what it needs gets a `LimitsError` with one plain line.
"""

from __future__ import annotations

from typing import Any, NoReturn

from oakkeel.admission.types import (
    DownstreamKind,
    Idempotency,
    LoadReportKind,
    NodeLimits,
    RequestClass,
    StopKind,
    Tenant,
)

EFFECTS = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.IDEMPOTENCY_KEY,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
STOPS = {"silent": StopKind.NONE, "abort": StopKind.ABORT, "suspend": StopKind.SUSPEND}
ADVICE = {
    "silent": LoadReportKind.NONE,
    "threshold": LoadReportKind.MINIMUM_RANK,
    "window": LoadReportKind.CONCURRENCY_LIMIT,
    "share_of": LoadReportKind.ADVERTISED_SHARE,
}
BELOW = {"silent": DownstreamKind.NONE, "shared": DownstreamKind.SHARED, "tier": DownstreamKind.TIER}
GAUGES = {
    "core_use": "core_busy",
    "on_cores": "run_queue",
    "heap_share": "memory_share",
    "links": "connections",
}


class LimitsError(ValueError):
    """What a node is told can't be read, or lacks what it needs."""


def fail(text: str) -> NoReturn:
    raise LimitsError(text)


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Nested JSON as the paths that the text form has: plain lists joined, lists of objects counted."""
    if isinstance(value, dict):
        inner = [(f"{path}.{name}" if path else str(name), item) for name, item in value.items()]
    elif isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        inner = [(f"{path}.{index}", item) for index, item in enumerate(value)]
        inner.append((f"{path}.count", len(value)))
    elif isinstance(value, list):
        return {path: ",".join(_word(item) for item in value)}
    else:
        return {path: _word(value)}
    return {name: word for place, item in inner for name, word in flatten(item, place).items()}


def _word(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else "" if value is None else str(value)


class Pairs:
    """The paths and values of a start; `get` tolerates an absent path, `need` does not."""

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values

    @classmethod
    def from_text(cls, text: str) -> Pairs:
        return cls(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))

    def get(self, path: str, default: str) -> str:
        return self.values.get(path) or default

    def need(self, path: str) -> str:
        return self.values.get(path) or fail(f"settings lack {path}")

    def number(self, path: str, default: float = 0.0) -> float:
        return self._parse(path, self.get(path, str(default)))

    def time(self, path: str) -> int:
        return int(self.number(path))

    def needed_number(self, path: str) -> float:
        return self._parse(path, self.need(path))

    def flag(self, path: str) -> bool:
        return self.get(path, "false") == "true"

    def entry(self, path: str, index: int, default: str) -> str:
        parts = self.get(path, "").split(",")
        return parts[index] if index < len(parts) and parts[index] else default

    def choice(self, path: str, known: dict, default: str):
        word = self.get(path, default)
        return known[word] if word in known else fail(f"settings hold an unknown word: {path}={word}")

    @staticmethod
    def _parse(path: str, value: str) -> float:
        try:
            return float(value)
        except ValueError:
            fail(f"settings hold no number: {path}={value}")

    def gauges(self) -> list[str | None]:
        """The fields of `Gauges` in the order in which their values come; None for one we don't read."""
        return [GAUGES.get(name) for name in self.get("extra.gauges", "").split(",")]

    def names(self, path: str) -> list[str]:
        return [self.get(f"{path}.{index}.name", "") for index in range(int(self.number(f"{path}.count")))]


def read_limits(pairs: Pairs) -> NodeLimits:
    """The limits of a node."""
    return NodeLimits(
        cores=int(pairs.needed_number("extra.cores")),
        memory_kb=pairs.needed_number("extra.heap-kb"),
        running_memory_factor=pairs.needed_number("extra.run-factor"),
        key_kb=pairs.number("extra.key-kb"),
        starts_cold=pairs.flag("extra.cold"),
        slow_start_share=pairs.number("obligations.cold-from", 1.0),
        slow_start_time=pairs.time("obligations.cold"),
        overload_multiple=pairs.needed_number("obligations.fall-multiple"),
        drain_grace=pairs.time("obligations.drain-grace"),
        marks_retries=pairs.flag("clients.marks-retry"),
        max_retry_after=pairs.time("ceilings.max-retry-after") if pairs.flag("ceilings.retry-after") else 0,
        stop_kind=pairs.choice("extra.halt", STOPS, "silent"),
        peers=max(1, int(pairs.number("peers-total", 1))),
        downstream=pairs.choice("extra.depends-on", BELOW, "silent"),
        downstream_quota=pairs.number("extra.call-share"),
        downstream_window=pairs.time("extra.dep-window"),
        call_linger=pairs.time("extra.linger"),
        cache_ttl=pairs.time("extra.fresh"),
        idle_timeout=pairs.time("extra.idle"),
        load_report=pairs.choice("extra.say", ADVICE, "silent"),
        over_allowance_weight=pairs.number("over-share-worth", 1.0),
        request_classes=[_group(pairs, index) for index in range(int(pairs.needed_number("classes.count")))],
        tenants=[
            Tenant(index, pairs.number(f"tenants.{index}.allowance-per-s"))
            for index in range(int(pairs.number("tenants.count")))
        ],
    )


def _group(pairs: Pairs, index: int) -> RequestClass:
    path = f"classes.{index}."
    async_timeout = int(pairs.needed_number(path + "hard-limit"))
    return RequestClass(
        index=index,
        idempotency=pairs.choice(path + "effect", EFFECTS, "non_idempotent"),
        priority_weight=pairs.number(path + "worth", 1.0),
        latency_objective=pairs.time(path + "aim") or async_timeout,
        client_timeout=async_timeout,
        idempotency_window=pairs.time(path + "window"),
        late_weight=pairs.number(path + "late-worth"),
        degraded_weight=float(pairs.entry("extra.class-skip-worth", index, "0")),
    )
