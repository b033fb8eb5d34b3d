"""Reads the settings of a fleet from XML, validated by `fleet.xsd`.

Each error is one line with file, line, element and what is allowed there.
"""

from __future__ import annotations

import datetime
import importlib.resources
import os
import re
from collections.abc import Iterator
from typing import Any

from lxml import etree

from oakkeel.settings.types import (
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

MAX_FILE_BYTES = 1024 * 1024
NAMESPACE = "{urn:oakkeel:fleet:1}"
UNITS = {"ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000, "h": 3600_000_000_000}


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
        raise SettingsError(f"{path}:{error.lineno or 1}: no XML: {error.msg}") from error
    if root.getroottree().docinfo.doctype:
        raise SettingsError(f"{path}:1: a document type is not allowed")
    schema = _schema()
    if not schema.validate(root):
        raise SettingsError("\n".join(_describe_violation(path, error) for error in schema.error_log))
    return _FleetReader(path, root).read()


def _schema() -> etree.XMLSchema:
    with importlib.resources.files("oakkeel.settings").joinpath("fleet.xsd").open("rb") as file:
        return etree.XMLSchema(etree.parse(file))


def _describe_violation(path: str, error: Any) -> str:
    text = error.message.replace(NAMESPACE, "")
    text = re.sub(
        r"^Element '(\w+)'(, attribute '([\w-]+)')?: ",
        lambda found: "<" + found[1] + ">" + (f" {found[3]}" if found[3] else "") + ": ",
        text,
    )
    return f"{path}:{error.line}: {text}"


class _FleetReader:
    """Turns what the schema allowed into types, and checks what a schema can't."""

    def __init__(self, path: str, root: Any) -> None:
        self.path, self.root = path, root
        self.folder = os.path.dirname(os.path.abspath(path))
        self.errors: list[str] = []

    def read(self) -> Fleet:
        """Return the fleet. Raises SettingsError with a line for each error found."""
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

    def _elements(self, name: str) -> Iterator[Any]:
        found: Iterator[Any] = self.root.iter(NAMESPACE + name)
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

    def _supervision(self) -> dict[str, Any]:
        supervision: dict[str, Any] = {}
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

    def _add_error(self, element: Any, text: str) -> None:
        self.errors.append(f"{self.path}:{element.sourceline}: <{etree.QName(element).localname}> {text}")

    def _check_unique(self, elements: Any, attribute: str) -> None:
        seen: dict[str, int] = {}
        for element in elements:
            value = element.get(attribute)
            if value in seen:
                self._add_error(element, f"{attribute}: {value!r} stands in line {seen[value]} already")
            seen.setdefault(value, element.sourceline)

    def _operator(self, element: Any) -> Operator:
        keys = []
        for key in element.iter(NAMESPACE + "key"):
            expires = 0
            if text := key.get("until"):
                moment = datetime.datetime.fromisoformat(text)
                if moment.tzinfo is None:
                    moment = moment.replace(tzinfo=datetime.UTC)
                expires = int(moment.timestamp()) * UNITS["s"]
            keys.append(KeyFile(key.get("id"), self._path(key.get("file")), expires))
        return Operator(element.get("name"), element.get("role") == "act", tuple(keys))

    def _fair_sharing(self, element: Any) -> FairSharingSettings:
        self._check_unique(element.iter(NAMESPACE + "weight"), "of")
        weights = tuple(
            (weight.get("of"), float(weight.get("is"))) for weight in element.iter(NAMESPACE + "weight")
        )
        values: dict[str, Any] = {
            field: int(element.get(name))
            for name, field in (("places", "tracked_flows"), ("promises", "max_reservations"))
            if element.get(name)
        }
        if any(not 1 <= value <= 65536 for value in values.values()):
            self._add_error(element, "places and promises: 1 to 65536 are allowed")
        if element.get("half"):
            values["half_life"] = max(1, parse_duration(element.get("half")))
        if element.get("snapshot"):
            values["snapshot"] = element.get("snapshot") in ("true", "1")
        return FairSharingSettings(tuple(element.get("by").split()), weights, **values)

    def _control_plane(self, hosts: list[HostSettings], all_sites: int) -> ControlPlaneSettings | None:
        """Return what the control plane has to know; None where the fleet has none."""
        names = {host.name for host in hosts}
        services = self._services(names)
        found = self.root.find(NAMESPACE + "keepers")
        if found is None:
            return None
        voters = tuple(found.get("hosts").split())
        if len(voters) not in (1, 3, 5) or len(set(voters)) != len(voters):
            self._add_error(found, "hosts: three or five are asked for, or one for a trial, each once")
        for name in voters:
            if name not in names:
                self._add_error(found, f"hosts: there is no host {name!r}")
        for element in self._elements("host"):
            if not element.get("key"):
                self._add_error(element, "key: agents that agree need one each")
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

    def _hosts(self, site: Any) -> list[HostSettings]:
        """Return the hosts of a site, each with its part of the site's disruption budget."""
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

    def _host_budgets(self, site: Any, elements: list[Any]) -> list[int]:
        """Return how many instances of each host may be unavailable: as given, or by its size."""
        allowed = int(site.get("away"))
        sizes = [len(list(element.iter(NAMESPACE + "instance"))) for element in elements]
        given = [element.get("away") for element in elements]
        remaining = allowed - sum(int(value) for value in given if value is not None)
        if remaining < 0:
            self._add_error(
                site, f"away: its hosts are told {allowed - remaining} in all, more than {allowed}"
            )
        open_indexes = [index for index, value in enumerate(given) if value is None]
        shares = split_budget(max(0, remaining), [sizes[index] for index in open_indexes])
        budgets = [int(value) if value is not None else 0 for value in given]
        for index, share in zip(open_indexes, shares, strict=True):
            budgets[index] = share
            # With a control plane its leader lends permits, so that a host needs no part of its own.
            if not share and site.getparent().find(NAMESPACE + "keepers") is None:
                self._add_error(
                    elements[index],
                    f"away: nothing is left for it of the {allowed} of its site, so no"
                    " order could take an instance out; allow the site more, or tell it 0",
                )
        return budgets

    def _instance(self, element: Any) -> InstanceSettings:
        return InstanceSettings(
            element.get("name"),
            self._path(element.get("config")),
            element.get("listen", ""),
            element.get("log", "console"),
            tuple(element.get("below", "").split()),
        )

    def _address(self, element: Any, attribute: str = "agent") -> tuple[str, int]:
        host, _, port = element.get(attribute).rpartition(":")
        if not 0 < int(port) < 65536:
            self._add_error(element, f"{attribute}: {port} is no port; 1 to 65535 are")
        return host, int(port)


def split_budget(total: int, sizes: list[int]) -> list[int]:
    """Split an integer in proportion to sizes, the largest remainders rounded up first."""
    size_sum = sum(sizes) or 1
    shares = [total * size // size_sum for size in sizes]
    order = sorted(range(len(sizes)), key=lambda index: (-(total * sizes[index] % size_sum), index))
    for index in order[: total - sum(shares)]:
        shares[index] += 1
    # None may get nothing while another has two: no order could ever take one of its instances.
    for empty in [index for index, share in enumerate(shares) if not share]:
        largest = max(range(len(shares)), key=lambda index: shares[index])
        if shares[largest] > 1:
            shares[largest], shares[empty] = shares[largest] - 1, 1
    return shares


def _parse_number_or_duration(text: str) -> int:
    return int(text) if text.isdigit() else parse_duration(text)


def parse_duration(text: str) -> int:
    """Parse a duration like 250ms, 2s, 5m or 1h into nanoseconds. Raises ValueError."""
    if not (found := re.fullmatch(r"(\d{1,6})(ms|s|m|h)", text)):
        raise ValueError(f"no time like 250ms, 2s, 5m or 1h: {text!r}")
    return int(found[1]) * UNITS[found[2]]
