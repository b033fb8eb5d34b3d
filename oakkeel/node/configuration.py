"""What a node is told when it starts: its variables and the file that they name."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from oakkeel.admission.types import FairSharingRules, NodeLimits
from oakkeel.node_limits import LimitsError, Pairs, fail, flatten, read_limits
from oakkeel.resource_limits import MS, ResourceLimits

Address = tuple[str, int]


@dataclass(slots=True)
class NodeConfiguration:
    """Everything that a node goes by."""

    name: str
    listen: Address
    engine: Address
    lookup: Address
    catalogue: Address | None  # nodes of the last tier have none
    seed: int
    resource_limits: ResourceLimits
    limits: NodeLimits
    gauges: list[str | None]
    groups: list[str]
    tenants: list[str]
    readiness: bool  # the directory follows the node's health
    log_form: str  # console or json
    control: str  # where its control link listens; empty: it has none
    snapshot: str  # where the shares of senders outlive a process; empty: nowhere
    generation: int  # told by whoever started it, and told back on its control link


def read_configuration(variables: Mapping[str, str]) -> NodeConfiguration:
    path = variables.get("PROXY_CONFIG") or fail("PROXY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise LimitsError(f"the configuration can't be read: {error}") from None
    if not isinstance(told, dict):
        fail("the configuration is no JSON object")
    pairs = Pairs(flatten({name: value for name, value in told.items() if name != "settings"}))
    node = Pairs(flatten(told.get("settings") or {}))
    try:
        limits = read_limits(node)
        limits.fair_sharing, snapshot = _fair(variables.get("OAKKEEL_TOLD", ""))
        return NodeConfiguration(
            name=variables.get("PROXY_NAME") or pairs.need("name"),
            listen=_address(variables.get("PROXY_LISTEN") or pairs.need("listen")),
            engine=_address(pairs.need("engine")),
            lookup=_address(pairs.need("lookup")),
            catalogue=_address(pairs.get("catalog", "")) if pairs.get("catalog", "") else None,
            seed=_seed(told.get("seed", 0)),
            resource_limits=ResourceLimits(
                sockets=int(pairs.needed_number("limits.sockets")),
                memory=int(pairs.needed_number("limits.memory_mb") * 1024 * 1024),
                stop_after=int(pairs.needed_number("stop_ms") * MS),
            ),
            limits=limits,
            gauges=node.gauges(),
            groups=node.names("classes"),
            tenants=node.names("tenants"),
            readiness=node.flag("extra.readiness"),
            snapshot=snapshot,
            log_form="json" if variables.get("OAKKEEL_LOG") == "json" else "console",
            control=variables.get("OAKKEEL_CONTROL", ""),
            generation=int(variables.get("OAKKEEL_GENERATION") or 0),
        )
    except LimitsError:
        raise
    except (ValueError, OverflowError, AttributeError, TypeError, RecursionError) as error:
        raise LimitsError(f"the configuration holds what can't be used: {error}") from None


def _fair(path: str) -> tuple[FairSharingRules | None, str]:
    """What the operator says of fair shares, in the file that an agent made of his settings."""
    if not path:
        return None, ""
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file).get("fair")
        if told is None:
            return None, ""
        weights = {str(name).encode(): float(value) for name, value in told["weights"].items()}
        if not 1 <= len(told["by"]) <= 2 or not all(0 < value < 1e6 for value in weights.values()):
            fail("the operator's settings name no senders, or a weight that can't be")
        return FairSharingRules(
            tuple(told["by"]), weights, int(told["places"]), int(told["promises"]), int(told["half"])
        ), str(told["snapshot"])
    except (OSError, KeyError, TypeError, ValueError) as error:
        raise LimitsError(f"the operator's settings can't be used: {error}") from None


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        fail(f"no address: {text}")
    return host, int(port)


def _seed(value: Any) -> int:
    return int(value, 16) if isinstance(value, str) else int(value)
