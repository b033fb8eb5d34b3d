"""Operators' settings of a fleet as frozen types, read from XML that `fleet.xsd` allows.

Each fault is one line with file, line, element and what is allowed there.
"""

from __future__ import annotations

import datetime
import importlib.resources
import os
import re
from dataclasses import dataclass
from typing import Any

from lxml import etree

MAX_FILE_BYTES = 1024 * 1024
SPACE = "{urn:oakkeel:fleet:1}"
UNITS = {"ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000, "h": 3600_000_000_000}


class SettingsError(ValueError):
    """The settings can't be used; the text is one line a fault."""


@dataclass(slots=True, frozen=True)
class KeyFile:
    ident: str
    path: str
    until: int  # Unix nanoseconds; 0: no end


@dataclass(slots=True, frozen=True)
class Operator:
    name: str
    acts: bool  # or views only
    keys: tuple[KeyFile, ...]


@dataclass(slots=True, frozen=True)
class InstanceSettings:
    name: str
    config: str  # the platform's JSON
    listen: str  # in place of what that says; empty: as it says
    log: str
    below: tuple[str, ...] = ()  # services that it can't do without


@dataclass(slots=True, frozen=True)
class HostSettings:
    """One agent and its instances."""

    name: str
    site: str
    agent: tuple[str, int]
    state: str  # folder
    away: int  # of its instances that may be out at one time: its part of what its site allows
    instances: tuple[InstanceSettings, ...]
    key: str = ""  # path of the key that its agent marks with


@dataclass(slots=True, frozen=True)
class Service:
    """One that instances hang on; it is not ours to start or stop."""

    name: str
    kind: str
    address: tuple[str, int]
    host: str  # whose agent watches it


@dataclass(slots=True, frozen=True)
class ControlPlaneSettings:
    """What a fleet that keeps a record has beside the rest."""

    hosts: tuple[str, ...]  # that begin a new record
    away: int  # of all instances, that may be out at one time
    kinds: dict[str, int]  # the same of services, by kind
    services: tuple[Service, ...]


@dataclass(slots=True, frozen=True)
class ClientSettings:
    """How the command line asks agents. Nanoseconds."""

    deadline: int = 1000 * UNITS["ms"]
    hedge: int = 250 * UNITS["ms"]  # without an answer, until the same is asked once more
    tries: int = 3


@dataclass(slots=True, frozen=True)
class FairSharingSettings:
    """Who counts as one sender at the door of a node, and what each may have."""

    by: tuple[str, ...]  # the outer level first
    weights: tuple[tuple[str, float], ...]
    places: int = 256
    promises: int = 1024
    half: int = 4 * UNITS["s"]
    snapshot: bool = True

    def told(self, snapshot: str) -> dict[str, Any]:
        """As a node reads it."""
        return {
            "by": list(self.by),
            "weights": dict(self.weights),
            "places": self.places,
            "promises": self.promises,
            "half": self.half,
            "snapshot": snapshot if self.snapshot else "",
        }


@dataclass(slots=True, frozen=True)
class Fleet:
    name: str
    path: str
    operators: tuple[Operator, ...]
    supervision: dict[str, Any]  # what is set of `SupervisionTimeouts`, by its fields
    asking: ClientSettings
    sites: dict[str, int]  # how many of each may be out at one time
    hosts: tuple[HostSettings, ...]
    fairness: FairSharingSettings | None = None
    keepers: ControlPlaneSettings | None = None  # None: each agent is on its own

    def host(self, name: str) -> HostSettings:
        for host in self.hosts:
            if host.name == name:
                return host
        names = ", ".join(each.name for each in self.hosts)
        raise SettingsError(f"{self.path}: no host {name!r}; there are {names}")

    def operator(self, name: str) -> Operator:
        for operator in self.operators:
            if operator.name == name:
                return operator
        names = ", ".join(each.name for each in self.operators)
        raise SettingsError(f"{self.path}: no operator {name!r}; there are {names}")


SUPERVISION = {
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
    """Raises SettingsError."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
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
        raise SettingsError(f"{path}:{error.lineno or 1}: no XML: {error.msg}") from None
    if root.getroottree().docinfo.doctype:
        raise SettingsError(f"{path}:1: a document type is not allowed")
    schema = _schema()
    if not schema.validate(root):
        raise SettingsError("\n".join(_fault(path, root, each) for each in schema.error_log))
    return _Reader(path, root).fleet()


def _schema() -> etree.XMLSchema:
    with importlib.resources.files("oakkeel.settings").joinpath("fleet.xsd").open("rb") as file:
        return etree.XMLSchema(etree.parse(file))


def _fault(path: str, root: Any, error: Any) -> str:
    text = error.message.replace(SPACE, "")
    text = re.sub(
        r"^Element '(\w+)'(, attribute '([\w-]+)')?: ",
        lambda found: "<" + found[1] + ">" + (f" {found[3]}" if found[3] else "") + ": ",
        text,
    )
    return f"{path}:{error.line}: {text}"


class _Reader:
    """Turns what the schema allowed into types, and checks what a schema can't."""

    def __init__(self, path: str, root: Any) -> None:
        self.path, self.root = path, root
        self.folder = os.path.dirname(os.path.abspath(path))
        self.faults: list[str] = []

    def fleet(self) -> Fleet:
        root = self.root
        operators = tuple(self._operator(each) for each in root.iter(SPACE + "operator"))
        self._unique(root.iter(SPACE + "operator"), "name")
        self._unique(root.iter(SPACE + "key"), "id")
        self._unique(root.iter(SPACE + "host"), "name")
        self._unique(root.iter(SPACE + "host"), "agent")
        self._unique(root.iter(SPACE + "host"), "state")
        self._unique(root.iter(SPACE + "instance"), "name")
        supervision: dict[str, Any] = {}
        for found in root.iter(SPACE + "supervision"):
            for attribute, value in found.attrib.items():
                supervision[SUPERVISION[attribute]] = (
                    value in ("true", "1")
                    if attribute == "restart-stuck"
                    else int(value)
                    if value.isdigit()
                    else time_of(value)
                )
        asking = {}
        for found in root.iter(SPACE + "asking"):
            asking = {
                name: int(value) if value.isdigit() else time_of(value)
                for name, value in found.attrib.items()
            }
        fairness = None
        for found in root.iter(SPACE + "fairness"):
            fairness = self._fairness(found)
        hosts: list[HostSettings] = []
        sites = {}
        for site in root.iter(SPACE + "site"):
            sites[site.get("name")] = int(site.get("away"))
            hosts += self._hosts(site)
        keepers = self._keepers(root, hosts, sum(sites.values()))
        if self.faults:
            raise SettingsError("\n".join(self.faults))
        return Fleet(
            root.get("name"),
            self.path,
            operators,
            supervision,
            ClientSettings(**asking),
            sites,
            tuple(hosts),
            fairness,
            keepers,
        )

    def _fault(self, element: Any, text: str) -> None:
        self.faults.append(f"{self.path}:{element.sourceline}: <{etree.QName(element).localname}> {text}")

    def _unique(self, elements: Any, attribute: str) -> None:
        seen: dict[str, int] = {}
        for element in elements:
            value = element.get(attribute)
            if value in seen:
                self._fault(element, f"{attribute}: {value!r} stands in line {seen[value]} already")
            seen.setdefault(value, element.sourceline)

    def _operator(self, element: Any) -> Operator:
        keys = []
        for key in element.iter(SPACE + "key"):
            until = 0
            if text := key.get("until"):
                moment = datetime.datetime.fromisoformat(text)
                if moment.tzinfo is None:
                    moment = moment.replace(tzinfo=datetime.UTC)
                until = int(moment.timestamp()) * UNITS["s"]
            keys.append(KeyFile(key.get("id"), self._path(key.get("file")), until))
        return Operator(element.get("name"), element.get("role") == "act", tuple(keys))

    def _fairness(self, element: Any) -> FairSharingSettings:
        self._unique(element.iter(SPACE + "weight"), "of")
        weights = tuple((each.get("of"), float(each.get("is"))) for each in element.iter(SPACE + "weight"))
        numbers: dict[str, Any] = {
            name: int(element.get(name)) for name in ("places", "promises") if element.get(name)
        }
        if any(not 1 <= value <= 65536 for value in numbers.values()):
            self._fault(element, "places and promises: 1 to 65536 are allowed")
        if element.get("half"):
            numbers["half"] = max(1, time_of(element.get("half")))
        if element.get("snapshot"):
            numbers["snapshot"] = element.get("snapshot") in ("true", "1")
        return FairSharingSettings(tuple(element.get("by").split()), weights, **numbers)

    def _keepers(self, root: Any, hosts: list[HostSettings], all_sites: int) -> ControlPlaneSettings | None:
        """What the record needs to be told; None where the fleet has none."""
        services = []
        kinds = {kind.get("name"): int(kind.get("away")) for kind in root.iter(SPACE + "kind")}
        names = {host.name for host in hosts}
        self._unique(root.iter(SPACE + "kind"), "name")
        self._unique([*root.iter(SPACE + "instance"), *root.iter(SPACE + "service")], "name")
        for element in root.iter(SPACE + "service"):
            if element.get("host") not in names:
                self._fault(element, f"host: there is no host {element.get('host')!r}")
            services.append(
                Service(
                    element.get("name"),
                    element.getparent().get("name"),
                    self._address(element, "address"),
                    element.get("host"),
                )
            )
        known = {service.name for service in services}
        for element in root.iter(SPACE + "instance"):
            for name in element.get("below", "").split():
                if name not in known:
                    self._fault(element, f"below: there is no service {name!r}")
        found = root.find(SPACE + "keepers")
        if found is None:
            return None
        told = tuple(found.get("hosts").split())
        if len(told) not in (1, 3, 5) or len(set(told)) != len(told):
            self._fault(found, "hosts: three or five are asked for, or one for a trial, each once")
        for name in told:
            if name not in names:
                self._fault(found, f"hosts: there is no host {name!r}")
        for element in root.iter(SPACE + "host"):
            if not element.get("key"):
                self._fault(element, "key: agents that agree need one each")
        return ControlPlaneSettings(told, int(root.get("away") or all_sites), kinds, tuple(services))

    def _path(self, text: str) -> str:
        """Relative to the settings."""
        return os.path.normpath(os.path.join(self.folder, text))

    def _hosts(self, site: Any) -> list[HostSettings]:
        """The hosts of a site, each with its part of what may be out: as told, or by its instances."""
        elements = list(site.iter(SPACE + "host"))
        allowed = int(site.get("away"))
        sizes = [len(list(each.iter(SPACE + "instance"))) for each in elements]
        told = [each.get("away") for each in elements]
        left = allowed - sum(int(each) for each in told if each is not None)
        if left < 0:
            self._fault(site, f"away: its hosts are told {allowed - left} in all, more than {allowed}")
        free = [index for index, each in enumerate(told) if each is None]
        shares = split(max(0, left), [sizes[index] for index in free])
        parts = [int(each) if each is not None else 0 for each in told]
        for index, share in zip(free, shares, strict=True):
            parts[index] = share
            if not share and site.getparent().find(SPACE + "keepers") is None:  # else places are lent
                self._fault(
                    elements[index],
                    f"away: nothing is left for it of the {allowed} of its site, so no"
                    " order could take an instance out; allow the site more, or tell it 0",
                )
        return [
            HostSettings(
                element.get("name"),
                site.get("name"),
                self._address(element),
                self._path(element.get("state")),
                part,
                tuple(
                    InstanceSettings(
                        each.get("name"),
                        self._path(each.get("config")),
                        each.get("listen", ""),
                        each.get("log", "console"),
                        tuple(each.get("below", "").split()),
                    )
                    for each in element.iter(SPACE + "instance")
                ),
                self._path(element.get("key")) if element.get("key") else "",
            )
            for element, part in zip(elements, parts, strict=True)
        ]

    def _address(self, element: Any, attribute: str = "agent") -> tuple[str, int]:
        host, _, port = element.get(attribute).rpartition(":")
        if not 0 < int(port) < 65536:
            self._fault(element, f"{attribute}: {port} is no port; 1 to 65535 are")
        return host, int(port)


def split(whole: int, sizes: list[int]) -> list[int]:
    """Whole numbers that add up to `whole`, each by its size, the largest rests rounded up first."""
    total = sum(sizes) or 1
    shares = [whole * size // total for size in sizes]
    order = sorted(range(len(sizes)), key=lambda index: (-(whole * sizes[index] % total), index))
    for index in order[: whole - sum(shares)]:
        shares[index] += 1
    # None may be left with nothing while another has two: it could never be worked on.
    for poor in [index for index, share in enumerate(shares) if not share]:
        rich = max(range(len(shares)), key=lambda index: shares[index])
        if shares[rich] > 1:
            shares[rich], shares[poor] = shares[rich] - 1, 1
    return shares


def time_of(text: str) -> int:
    """Nanoseconds of a text like 250ms, 2s, 5m or 1h. Raises ValueError."""
    if not (found := re.fullmatch(r"(\d{1,6})(ms|s|m|h)", text)):
        raise ValueError(f"no time like 250ms, 2s, 5m or 1h: {text!r}")
    return int(found[1]) * UNITS[found[2]]
