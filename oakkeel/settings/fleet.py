"""Reads the settings of a fleet from XML, validated by `fleet.xsd`.

Each error is one line with the file, the line, the element, and the allowed values.
"""

from __future__ import annotations

import datetime
import importlib.resources
import os
import re
from collections.abc import Iterable, Iterator
from dataclasses import replace
from typing import TypeAlias

from lxml import etree

from oakkeel.settings.types import (
    VOTER_COUNTS,
    ClientSettings,
    ControlPlaneSettings,
    FairSharingSettings,
    Fleet,
    HostSettings,
    InstanceSettings,
    KeyFile,
    Operator,
    Service,
    SettingsError,
)
from oakkeel.units import MS, SECOND

MAX_FILE_BYTES = 1024 * 1024
NAMESPACE = "{urn:oakkeel:fleet:1}"
NS_PER_UNIT = {"ms": MS, "s": SECOND, "m": 60 * SECOND, "h": 3600 * SECOND}
MAX_TRACKED = 65_536  # limit of the number of tracked flows, and of reservations
MAX_PORT = 65_535

Element: TypeAlias = etree._Element

# Maps the attributes of `<supervision>` to the keys of `Fleet.supervision`. `FIELD_OF_SETTING` in
# `agent/supervision_rules.py` maps these keys to the fields of `SupervisionTimeouts`.
SUPERVISION_FIELDS = {
    "silent": "silent",
    "start": "start",
    "stuck": "stuck",
    "restart-stuck": "restart_stuck",
    "drain": "drain",
    "backoff": "backoff",
    "backoff-most": "backoff_most",
    "steady": "steady",
    "restarts": "budget",
    "window": "window",
    "starting": "starting",
}


def read_fleet(path: str) -> Fleet:
    """Read and check the settings of a fleet. Raises SettingsError."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    if len(data) > MAX_FILE_BYTES:
        raise SettingsError(f"{path}: more than {MAX_FILE_BYTES} bytes")
    parser = etree.XMLParser(
        resolve_entities=False,
        no_network=True,
        load_dtd=False,
        huge_tree=False,
        remove_comments=True,
        remove_pis=True,
    )
    try:
        root = etree.fromstring(data, parser)
    except etree.XMLSyntaxError as error:
        raise SettingsError(f"{path}:{error.lineno or 1}: not well-formed XML: {error.msg}") from error
    if root.getroottree().docinfo.doctype:
        raise SettingsError(f"{path}:1: a document type is not allowed")
    schema = _load_schema()
    if not schema.validate(root):
        raise SettingsError("\n".join(_describe_violation(path, error) for error in schema.error_log))
    return _FleetReader(path, root).read()


def _load_schema() -> etree.XMLSchema:
    with importlib.resources.files("oakkeel.settings").joinpath("fleet.xsd").open("rb") as file:
        return etree.XMLSchema(etree.parse(file))


def _describe_violation(path: str, error: etree._LogEntry) -> str:
    text = error.message.replace(NAMESPACE, "")
    text = re.sub(
        r"^Element '(\w+)'(, attribute '([\w-]+)')?: ",
        lambda match: "<" + match[1] + ">" + (f" {match[3]}" if match[3] else "") + ": ",
        text,
    )
    return f"{path}:{error.line}: {text}"


class _FleetReader:
    """Converts elements that the schema accepts, and checks the rules that the schema cannot express."""

    def __init__(self, path: str, root: Element) -> None:
        self.path = path
        self.root = root
        self.folder = os.path.dirname(os.path.abspath(path))
        self.errors: list[str] = []

    def read(self) -> Fleet:
        """Return the fleet. Raises SettingsError with a line for each error."""
        root = self.root
        operators = tuple(self._read_operator(element) for element in self._elements("operator"))
        self._check_unique_names()
        supervision = self._read_supervision()
        client = self._read_client()
        fairness = None
        for element in self._elements("fairness"):
            fairness = self._read_fair_sharing(element)
        hosts: list[HostSettings] = []
        sites = {}
        for site in self._elements("site"):
            sites[site.get("name")] = int(site.get("away"))
            hosts += self._read_hosts(site)
        control_plane = self._read_control_plane(hosts, sum(sites.values()))
        if self.errors:
            raise SettingsError("\n".join(self.errors))
        return Fleet(
            root.get("name"),
            self.path,
            operators,
            supervision,
            client,
            sites,
            tuple(hosts),
            fairness,
            control_plane,
        )

    def _elements(self, name: str) -> Iterator[Element]:
        elements: Iterator[Element] = self.root.iter(NAMESPACE + name)
        return elements

    def _check_unique_names(self) -> None:
        for name, attribute in (
            ("operator", "name"),
            ("key", "id"),
            ("host", "name"),
            ("host", "agent"),
            ("host", "state"),
            ("instance", "name"),
        ):
            self._check_unique(self._elements(name), attribute)

    def _read_supervision(self) -> dict[str, int | bool]:
        supervision: dict[str, int | bool] = {}
        for element in self._elements("supervision"):
            for attribute, value in element.attrib.items():
                supervision[SUPERVISION_FIELDS[attribute]] = (
                    value in ("true", "1")
                    if attribute == "restart-stuck"
                    else _parse_number_or_duration(value)
                )
        return supervision

    def _read_client(self) -> ClientSettings:
        values: dict[str, int] = {}
        for element in self._elements("asking"):
            values = {name: _parse_number_or_duration(value) for name, value in element.attrib.items()}
        return ClientSettings(**values)

    def _add_error(self, element: Element, text: str) -> None:
        self.errors.append(f"{self.path}:{element.sourceline}: <{etree.QName(element).localname}> {text}")

    def _check_unique(self, elements: Iterable[Element], attribute: str) -> None:
        lines: dict[str, int] = {}
        for element in elements:
            value = element.get(attribute)
            if value in lines:
                self._add_error(element, f"{attribute}: {value!r} is defined in line {lines[value]} already")
            lines.setdefault(value, element.sourceline)

    def _read_operator(self, element: Element) -> Operator:
        keys = []
        for key in element.iter(NAMESPACE + "key"):
            expires = 0
            if text := key.get("until"):
                expiry = datetime.datetime.fromisoformat(text)
                if expiry.tzinfo is None:
                    expiry = expiry.replace(tzinfo=datetime.UTC)
                expires = int(expiry.timestamp()) * NS_PER_UNIT["s"]
            keys.append(KeyFile(key.get("id"), self._resolve_path(key.get("file")), expires))
        return Operator(element.get("name"), element.get("role") == "act", tuple(keys))

    def _read_fair_sharing(self, element: Element) -> FairSharingSettings:
        self._check_unique(element.iter(NAMESPACE + "weight"), "of")
        weights = tuple(
            (weight.get("of"), float(weight.get("is"))) for weight in element.iter(NAMESPACE + "weight")
        )
        settings = FairSharingSettings(tuple(element.get("by").split()), weights)
        if element.get("places"):
            settings = replace(settings, tracked_flows=int(element.get("places")))
        if element.get("promises"):
            settings = replace(settings, max_reservations=int(element.get("promises")))
        if any(
            not 1 <= number <= MAX_TRACKED for number in (settings.tracked_flows, settings.max_reservations)
        ):
            self._add_error(element, f"places and promises: 1 to {MAX_TRACKED} are allowed")
        if element.get("half"):
            settings = replace(settings, half_life=max(1, parse_duration(element.get("half"))))
        if element.get("snapshot"):
            settings = replace(settings, has_snapshot=element.get("snapshot") in ("true", "1"))
        return settings

    def _read_control_plane(
        self, hosts: list[HostSettings], site_budget_sum: int
    ) -> ControlPlaneSettings | None:
        """Return the settings of the control plane; None if the fleet has no replicas (keepers).

        `site_budget_sum` is the sum of the disruption budgets of all sites, the default for the whole fleet.
        """
        host_names = {host.name for host in hosts}
        services = self._read_services(host_names)
        replicas = self.root.find(NAMESPACE + "keepers")
        if replicas is None:
            return None
        voters = tuple(replicas.get("hosts").split())
        if len(voters) not in VOTER_COUNTS or len(set(voters)) != len(voters):
            self._add_error(replicas, "hosts: three or five different hosts are allowed, or one for a trial")
        for name in voters:
            if name not in host_names:
                self._add_error(replicas, f"hosts: there is no host {name!r}")
        for element in self._elements("host"):
            if not element.get("key"):
                self._add_error(element, "key: in a fleet with replicas (keepers) each agent needs a key")
        kind_budgets = {kind.get("name"): int(kind.get("away")) for kind in self._elements("kind")}
        return ControlPlaneSettings(
            voters, int(self.root.get("away") or site_budget_sum), kind_budgets, services
        )

    def _read_services(self, host_names: set[str]) -> tuple[Service, ...]:
        """Return the downstream services, after a check of them and of all references to services."""
        services = []
        self._check_unique(self._elements("kind"), "name")
        self._check_unique([*self._elements("instance"), *self._elements("service")], "name")
        for element in self._elements("service"):
            if element.get("host") not in host_names:
                self._add_error(element, f"host: there is no host {element.get('host')!r}")
            services.append(
                Service(
                    element.get("name"),
                    element.getparent().get("name"),
                    self._parse_address(element, "address"),
                    element.get("host"),
                )
            )
        service_names = {service.name for service in services}
        for element in self._elements("instance"):
            for name in element.get("below", "").split():
                if name not in service_names:
                    self._add_error(element, f"below: there is no service {name!r}")
        return tuple(services)

    def _resolve_path(self, text: str) -> str:
        """Resolve a path that is relative to the settings file."""
        return os.path.normpath(os.path.join(self.folder, text))

    def _read_hosts(self, site: Element) -> list[HostSettings]:
        """Return the hosts of a site, each with its share of the site's disruption budget."""
        elements = list(site.iter(NAMESPACE + "host"))
        budgets = self._host_budgets(site, elements)
        return [
            HostSettings(
                element.get("name"),
                site.get("name"),
                self._parse_address(element),
                self._resolve_path(element.get("state")),
                budget,
                tuple(self._read_instance(instance) for instance in element.iter(NAMESPACE + "instance")),
                self._resolve_path(element.get("key")) if element.get("key") else "",
            )
            for element, budget in zip(elements, budgets, strict=True)
        ]

    def _host_budgets(self, site: Element, elements: list[Element]) -> list[int]:
        """Return the disruption budget of each host of a site.

        A host without an `away` value gets a share of the part of the site's budget that other hosts leave.
        """
        site_budget = int(site.get("away"))
        instance_counts = [len(list(element.iter(NAMESPACE + "instance"))) for element in elements]
        configured_budgets = [element.get("away") for element in elements]
        remaining_budget = site_budget - sum(int(value) for value in configured_budgets if value is not None)
        if remaining_budget < 0:
            self._add_error(
                site,
                f"away: the sum of its hosts is {site_budget - remaining_budget}, more than {site_budget}",
            )
        unset_indexes = [index for index, value in enumerate(configured_budgets) if value is None]
        shares = split_budget(max(0, remaining_budget), [instance_counts[index] for index in unset_indexes])
        budgets = [int(value) if value is not None else 0 for value in configured_budgets]
        for index, share in zip(unset_indexes, shares, strict=True):
            budgets[index] = share
            # In a fleet with a control plane, permits come from its leader, so a host needs no budget.
            if not share and site.getparent().find(NAMESPACE + "keepers") is None:
                self._add_error(
                    elements[index],
                    f"away: nothing of the site's budget of {site_budget} is left for this host, so no order"
                    " could take out an instance; raise the value of the site, or set 0 for this host",
                )
        return budgets

    def _read_instance(self, element: Element) -> InstanceSettings:
        return InstanceSettings(
            element.get("name"),
            self._resolve_path(element.get("config")),
            element.get("listen", ""),
            element.get("log", "console"),
            tuple(element.get("below", "").split()),
        )

    def _parse_address(self, element: Element, attribute: str = "agent") -> tuple[str, int]:
        host, _, port = element.get(attribute).rpartition(":")
        if not 0 < int(port) <= MAX_PORT:
            self._add_error(element, f"{attribute}: {port} is not a port; 1 to {MAX_PORT} are allowed")
        return host, int(port)


def split_budget(total: int, sizes: list[int]) -> list[int]:
    """Split a budget into integer shares in proportion to sizes; the largest remainders are rounded up."""
    size_sum = sum(sizes) or 1
    shares = [total * size // size_sum for size in sizes]
    by_remainder = sorted(range(len(sizes)), key=lambda index: (-(total * sizes[index] % size_sum), index))
    for index in by_remainder[: total - sum(shares)]:
        shares[index] += 1
    # No order could take out an instance of a host without a share, so a host with two or more gives one up.
    for empty_index in [index for index, share in enumerate(shares) if not share]:
        largest = max(range(len(shares)), key=lambda index: shares[index])
        if shares[largest] > 1:
            shares[largest] -= 1
            shares[empty_index] = 1
    return shares


def _parse_number_or_duration(text: str) -> int:
    return int(text) if text.isdigit() else parse_duration(text)


def parse_duration(text: str) -> int:
    """Parse a duration like 250ms, 2s, 5m or 1h into nanoseconds. Raises ValueError."""
    if not (match := re.fullmatch(r"(\d{1,6})(ms|s|m|h)", text)):
        raise ValueError(f"not a duration like 250ms, 2s, 5m or 1h: {text!r}")
    return int(match[1]) * NS_PER_UNIT[match[2]]
