"""Configuration of a node: its environment variables and the file that they name."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from oakkeel.admission.types import FairSharingRules, NodeLimits
from oakkeel.node_limits import LimitsError, Settings, flatten_json, raise_limits_error, read_limits
from oakkeel.resource_limits import ResourceLimits
from oakkeel.units import BYTES_PER_MB, MS

Address = tuple[str, int]

MAX_FLOW_LEVELS = 2
MAX_FLOW_WEIGHT = 1e6
MAX_PORT = 65535
HEX_BASE = 16


class FairSharingSettings(NamedTuple):
    """The fair-sharing rules, and the file that keeps the shares across restarts."""

    rules: FairSharingRules | None
    snapshot_path: str  # empty for no snapshot


NO_FAIR_SHARING = FairSharingSettings(None, "")


@dataclass(slots=True)
class NodeConfiguration:
    """The settings that a node reads at its start and at each reload."""

    name: str
    listen: Address
    engine: Address
    directory: Address
    catalogue: Address | None  # None at the last tier
    seed: int  # of the random number generator of the admission controller
    resource_limits: ResourceLimits
    limits: NodeLimits
    gauges: list[str | None]  # fields of `Gauges` in the order of the engine's values; None for an unused one
    class_names: list[str]
    tenant_names: list[str]
    readiness: bool  # whether the directory is notified of changes of the node's health
    log_format: str  # console or json
    control_path: str  # path of the control socket; empty for none
    snapshot_path: str  # path of the file that keeps fair shares across restarts; empty for none
    generation: int  # number that the agent gives to each start of the node; 0 without an agent


def read_configuration(variables: Mapping[str, str]) -> NodeConfiguration:
    """Read the environment variables and the file they name. Raises LimitsError with a one-line message."""
    document = _read_document(variables.get("PROXY_CONFIG") or raise_limits_error("PROXY_CONFIG is not set"))
    process_settings = Settings(
        flatten_json({name: value for name, value in document.items() if name != "settings"})
    )
    node_settings = Settings(flatten_json(document.get("settings") or {}))
    try:
        limits = read_limits(node_settings)
        fair_sharing = _read_fair_sharing(variables.get("OAKKEEL_TOLD", ""))
        limits.fair_sharing = fair_sharing.rules
        return NodeConfiguration(
            name=variables.get("PROXY_NAME") or process_settings.required("name"),
            listen=_address(variables.get("PROXY_LISTEN") or process_settings.required("listen")),
            engine=_address(process_settings.required("engine")),
            directory=_address(process_settings.required("lookup")),
            catalogue=_address(process_settings.get("catalog", ""))
            if process_settings.get("catalog", "")
            else None,
            seed=_seed(document.get("seed", 0)),
            resource_limits=ResourceLimits(
                sockets=int(process_settings.required_number("limits.sockets")),
                memory=int(process_settings.required_number("limits.memory_mb") * BYTES_PER_MB),
                stop_after=int(process_settings.required_number("stop_ms") * MS),
            ),
            limits=limits,
            gauges=node_settings.gauges(),
            class_names=node_settings.names("classes"),
            tenant_names=node_settings.names("tenants"),
            readiness=node_settings.read_flag("extra.readiness"),
            snapshot_path=fair_sharing.snapshot_path,
            log_format="json" if variables.get("OAKKEEL_LOG") == "json" else "console",
            control_path=variables.get("OAKKEEL_CONTROL", ""),
            generation=int(variables.get("OAKKEEL_GENERATION") or 0),
        )
    except LimitsError:
        raise
    except (ValueError, OverflowError, AttributeError, TypeError, RecursionError) as error:
        raise LimitsError(f"the configuration has a malformed value: {error}") from None


def _read_document(path: str) -> dict[str, Any]:
    """Read a file that holds one JSON object."""
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise LimitsError(f"the configuration can't be read: {error}") from None
    return (
        document
        if isinstance(document, dict)
        else raise_limits_error("the configuration is not a JSON object")
    )


def _read_fair_sharing(path: str) -> FairSharingSettings:
    """Read the fair-sharing settings from the file that the agent writes from the operators' settings."""
    if not path:
        return NO_FAIR_SHARING
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file).get("fair")
        if document is None:
            return NO_FAIR_SHARING
        rules = FairSharingRules(
            levels=tuple(document["by"]),
            weights={str(name).encode(): float(value) for name, value in document["weights"].items()},
            max_flows=int(document["places"]),
            max_reservations=int(document["promises"]),
            half_life=int(document["half"]),
        )
        if not 1 <= len(rules.levels) <= MAX_FLOW_LEVELS or not all(
            0 < weight < MAX_FLOW_WEIGHT for weight in rules.weights.values()
        ):
            raise_limits_error(
                f"the operators' settings need 1 to {MAX_FLOW_LEVELS} levels of flows,"
                f" and weights above 0 and below {MAX_FLOW_WEIGHT:g}"
            )
        return FairSharingSettings(rules, str(document["snapshot"]))
    except (OSError, KeyError, TypeError, ValueError) as error:
        raise LimitsError(f"the operators' settings have a malformed value: {error}") from None


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise_limits_error(f"not an address of the form HOST:PORT: {text}")
    return host, int(port)


def _seed(value: Any) -> int:
    """Return the seed of the random number generator; a string is hexadecimal."""
    return int(value, HEX_BASE) if isinstance(value, str) else int(value)
