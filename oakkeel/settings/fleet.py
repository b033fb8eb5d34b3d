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
UNITS_NS = {"ms": MS, "s": SECOND, "m": 60 * SECOND, "h": 3600 * SECOND}
MAX_TRACKED = 65_536  # flows, and reservations
MAX_PORT = 65_535

Element: TypeAlias = etree._Element

# By attribute of `<supervision>`: the name in `Fleet.supervision`. `FIELD_OF_SETTING` of
# `agent/supervision_rules.py` has the field of `SupervisionTimeouts` for each.
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
    schema = _schema()
    if not schema.validate(root):
        raise SettingsError("\n".join(_describe_violation(path, error) for error in schema.error_log))
    return _FleetReader(path, root).read()


def _schema() -> etree.XMLSchema:
    with importlib.resources.files("oakkeel.settings").joinpath("fleet.xsd").open("rb") as file:
        return etree.XMLSchema(etree.parse(file))


def _describe_violation(path: str, error: etree._LogEntry) -> str:
    text = error.message.replace(NAMESPACE, "")
    text = re.sub(
        r"^Element '(\w+)'(, attribute '([\w-]+)')?: ",
        lambda found: "<" + found[1] + ">" + (f" {found[3]}" if found[3] else "") + ": ",
        text,
    )
    return f"{path}:{error.line}: {text}"


class _FleetReader:
    """Converts elements that the schema accepted into types, and checks what a schema can't."""

    def __init__(self, path: str, root: Element) -> None:
        self.path = path
        self.root = root
        self.folder = os.path.dirname(os.path.abspath(path))
        self.errors: list[str] = []

    def read(self) -> Fleet:
        """Return the fleet. Raises SettingsError with a line for each error."""
        root = self.root
        operators = tuple(self._operator(element) for element in self._elements("operator"))
        self._check_unique_names()
        supervision = self._supervision()
        client = self._client()
        fairness = None
        for element in self._elements("fairness"):
            fairness = self._fair_sharing(element)
        hosts: list[HostSettings] = []
        sites = {}
        for site in self._elements("site"):
            sites[site.get("name")] = int(site.get("away"))
            hosts += self._hosts(site)
        control_plane = self._control_plane(hosts, sum(sites.values()))
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
        found: Iterator[Element] = self.root.iter(NAMESPACE + name)
        return found

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

    def _supervision(self) -> dict[str, int | bool]:
        supervision: dict[str, int | bool] = {}
        for element in self._elements("supervision"):
            for attribute, value in element.attrib.items():
                supervision[SUPERVISION_FIELDS[attribute]] = (
                    value in ("true", "1")
                    if attribute == "restart-stuck"
                    else _parse_number_or_duration(value)
                )
        return supervision

    def _client(self) -> ClientSettings:
        values: dict[str, int] = {}
        for element in self._elements("asking"):
            values = {name: _parse_number_or_duration(value) for name, value in element.attrib.items()}
        return ClientSettings(**values)

    def _add_error(self, element: Element, text: str) -> None:
        self.errors.append(f"{self.path}:{element.sourceline}: <{etree.QName(element).localname}> {text}")

    def _check_unique(self, elements: Iterable[Element], attribute: str) -> None:
        seen: dict[str, int] = {}
        for element in elements:
            value = element.get(attribute)
            if value in seen:
                self._add_error(element, f"{attribute}: {value!r} is defined in line {seen[value]} already")
            seen.setdefault(value, element.sourceline)

    def _operator(self, element: Element) -> Operator:
        keys = []
        for key in element.iter(NAMESPACE + "key"):
            expires = 0
            if text := key.get("until"):
                moment = datetime.datetime.fromisoformat(text)
                if moment.tzinfo is None:
                    moment = moment.replace(tzinfo=datetime.UTC)
                expires = int(moment.timestamp()) * UNITS_NS["s"]
            keys.append(KeyFile(key.get("id"), self._path(key.get("file")), expires))
        return Operator(element.get("name"), element.get("role") == "act", tuple(keys))

    def _fair_sharing(self, element: Element) -> FairSharingSettings:
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
            settings = replace(settings, snapshot=element.get("snapshot") in ("true", "1"))
        return settings

    def _control_plane(self, hosts: list[HostSettings], all_sites: int) -> ControlPlaneSettings | None:
        """Return the settings of the control plane; None if the fleet has none."""
        names = {host.name for host in hosts}
        services = self._services(names)
        found = self.root.find(NAMESPACE + "keepers")
        if found is None:
            return None
        voters = tuple(found.get("hosts").split())
        if len(voters) not in VOTER_COUNTS or len(set(voters)) != len(voters):
            self._add_error(found, "hosts: three or five different hosts are allowed, or one for a trial")
        for name in voters:
            if name not in names:
                self._add_error(found, f"hosts: there is no host {name!r}")
        for element in self._elements("host"):
            if not element.get("key"):
                self._add_error(element, "key: in a fleet with replicas (keepers) each agent needs one")
        kinds = {kind.get("name"): int(kind.get("away")) for kind in self._elements("kind")}
        return ControlPlaneSettings(voters, int(self.root.get("away") or all_sites), kinds, services)

    def _services(self, hosts: set[str]) -> tuple[Service, ...]:
        """Return the downstream services, after checking them and all references to them."""
        services = []
        self._check_unique(self._elements("kind"), "name")
        self._check_unique([*self._elements("instance"), *self._elements("service")], "name")
        for element in self._elements("service"):
            if element.get("host") not in hosts:
                self._add_error(element, f"host: there is no host {element.get('host')!r}")
            services.append(
                Service(
                    element.get("name"),
                    element.getparent().get("name"),
                    self._address(element, "address"),
                    element.get("host"),
                )
            )
        known = {service.name for service in services}
        for element in self._elements("instance"):
            for name in element.get("below", "").split():
                if name not in known:
                    self._add_error(element, f"below: there is no service {name!r}")
        return tuple(services)

    def _path(self, text: str) -> str:
        """Resolve a path that is relative to the settings file."""
        return os.path.normpath(os.path.join(self.folder, text))

    def _hosts(self, site: Element) -> list[HostSettings]:
        """Return the hosts of a site, each with its share of the site's disruption budget."""
        elements = list(site.iter(NAMESPACE + "host"))
        budgets = self._host_budgets(site, elements)
        return [
            HostSettings(
                element.get("name"),
                site.get("name"),
                self._address(element),
                self._path(element.get("state")),
                budget,
                tuple(self._instance(instance) for instance in element.iter(NAMESPACE + "instance")),
                self._path(element.get("key")) if element.get("key") else "",
            )
            for element, budget in zip(elements, budgets, strict=True)
        ]

    def _host_budgets(self, site: Element, elements: list[Element]) -> list[int]:
        """Return the disruption budget of each host: as given, else its share of the rest of the site's."""
        allowed = int(site.get("away"))
        sizes = [len(list(element.iter(NAMESPACE + "instance"))) for element in elements]
        given = [element.get("away") for element in elements]
        remaining = allowed - sum(int(value) for value in given if value is not None)
        if remaining < 0:
            self._add_error(site, f"away: the sum of its hosts is {allowed - remaining}, more than {allowed}")
        open_indexes = [index for index, value in enumerate(given) if value is None]
        shares = split_budget(max(0, remaining), [sizes[index] for index in open_indexes])
        budgets = [int(value) if value is not None else 0 for value in given]
        for index, share in zip(open_indexes, shares, strict=True):
            budgets[index] = share
            # In a fleet with a control plane permits come from its leader: a host needs no budget of its own.
            if not share and site.getparent().find(NAMESPACE + "keepers") is None:
                self._add_error(
                    elements[index],
                    f"away: none of the {allowed} of its site is left for this host, so no order could take"
                    " out an instance; raise the value of the site, or set 0 for this host",
                )
        return budgets

    def _instance(self, element: Element) -> InstanceSettings:
        return InstanceSettings(
            element.get("name"),
            self._path(element.get("config")),
            element.get("listen", ""),
            element.get("log", "console"),
            tuple(element.get("below", "").split()),
        )

    def _address(self, element: Element, attribute: str = "agent") -> tuple[str, int]:
        host, _, port = element.get(attribute).rpartition(":")
        if not 0 < int(port) <= MAX_PORT:
            self._add_error(element, f"{attribute}: {port} is not a port; 1 to {MAX_PORT} are allowed")
        return host, int(port)


def split_budget(total: int, sizes: list[int]) -> list[int]:
    """Split an integer in proportion to sizes, rounding up the largest remainders first."""
    size_sum = sum(sizes) or 1
    shares = [total * size // size_sum for size in sizes]
    order = sorted(range(len(sizes)), key=lambda index: (-(total * sizes[index] % size_sum), index))
    for index in order[: total - sum(shares)]:
        shares[index] += 1
    # A host without a share could never take out an instance: it gets one from a host with two or more.
    for empty in [index for index, share in enumerate(shares) if not share]:
        largest = max(range(len(shares)), key=lambda index: shares[index])
        if shares[largest] > 1:
            shares[largest] -= 1
            shares[empty] = 1
    return shares


def _parse_number_or_duration(text: str) -> int:
    return int(text) if text.isdigit() else parse_duration(text)


def parse_duration(text: str) -> int:
    """Parse a duration like 250ms, 2s, 5m or 1h into nanoseconds. Raises ValueError."""
    if not (found := re.fullmatch(r"(\d{1,6})(ms|s|m|h)", text)):
        raise ValueError(f"not a duration like 250ms, 2s, 5m or 1h: {text!r}")
    return int(found[1]) * UNITS_NS[found[2]]
