"""Configuration of a node: its environment variables and the file that they name."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from oakkeel.admission.types import FairSharingRules, NodeLimits
from oakkeel.node_limits import LimitsError, Pairs, fail, flatten, read_limits
from oakkeel.resource_limits import ResourceLimits
from oakkeel.units import MS

Address = tuple[str, int]


@dataclass(slots=True)
class NodeConfiguration:
    """Everything that a node is configured with."""

    name: str
    listen: Address
    engine: Address
    lookup: Address
    catalogue: Address | None  # the last tier has none
    seed: int
    resource_limits: ResourceLimits
    limits: NodeLimits
    gauges: list[str | None]
    groups: list[str]
    tenants: list[str]
    readiness: bool  # the directory follows its health
    log_form: str  # console or json
    control: str  # path of its control socket; empty: none
    snapshot: str  # file that keeps fair shares across restarts; empty: none
    generation: int  # set by whoever started it, reported on the control link


def read_configuration(variables: Mapping[str, str]) -> NodeConfiguration:
    """Read variables and file; raises LimitsError with one line that names what is wrong."""
    document = _read_document(variables.get("PROXY_CONFIG") or fail("PROXY_CONFIG is not set"))
    pairs = Pairs(flatten({name: value for name, value in document.items() if name != "settings"}))
    node = Pairs(flatten(document.get("settings") or {}))
    try:
        limits = read_limits(node)
        limits.fair_sharing, snapshot = _read_fair_sharing(variables.get("OAKKEEL_TOLD", ""))
        return NodeConfiguration(
            name=variables.get("PROXY_NAME") or pairs.need("name"),
            listen=_address(variables.get("PROXY_LISTEN") or pairs.need("listen")),
            engine=_address(pairs.need("engine")),
            lookup=_address(pairs.need("lookup")),
            catalogue=_address(pairs.get("catalog", "")) if pairs.get("catalog", "") else None,
            seed=_seed(document.get("seed", 0)),
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


def _read_document(path: str) -> dict[str, Any]:
    """Read the JSON object of a file."""
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise LimitsError(f"the configuration can't be read: {error}") from None
    return document if isinstance(document, dict) else fail("the configuration is no JSON object")


def _read_fair_sharing(path: str) -> tuple[FairSharingRules | None, str]:
    """Read the fair-sharing rules from the file that an agent made of the operator's settings."""
    if not path:
        return None, ""
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file).get("fair")
        if document is None:
            return None, ""
        weights = {str(name).encode(): float(value) for name, value in document["weights"].items()}
        if not 1 <= len(document["by"]) <= 2 or not all(0 < value < 1e6 for value in weights.values()):
            fail("the operator's settings name no senders, or a weight that can't be")
        return FairSharingRules(
            tuple(document["by"]),
            weights,
            int(document["places"]),
            int(document["promises"]),
            int(document["half"]),
        ), str(document["snapshot"])
    except (OSError, KeyError, TypeError, ValueError) as error:
        raise LimitsError(f"the operator's settings can't be used: {error}") from None


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        fail(f"no address: {text}")
    return host, int(port)


def _seed(value: Any) -> int:
    return int(value, 16) if isinstance(value, str) else int(value)
