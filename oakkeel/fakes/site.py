"""A site in a folder: fake engines, catalogue and directory, and the settings and keys of its processes."""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import random
import secrets
import socket
from dataclasses import dataclass
from xml.sax.saxutils import quoteattr

from oakkeel.fakes.catalogue import Catalogue
from oakkeel.fakes.directory import Directory
from oakkeel.fakes.engine import Engine
from oakkeel.settings.keys import write_key
from oakkeel.units import MS, SECOND

OPERATORS = {"asha": "act", "ravi": "act", "lena": "view"}
NODE_SETTINGS = {
    "extra": {
        "cores": 2,
        "heap-kb": 30000.0,
        "run-factor": 8.0,
        "halt": "abort",
        "depends-on": "tier",
        "gauges": ["core_use", "on_cores", "heap_share", "links"],
        "say": "share_of",
        "readiness": True,
        "idle": 15 * SECOND,
        "linger": 200 * MS,
    },
    "obligations": {"fall-multiple": 8.0, "drain-grace": 500 * MS, "cold": 2 * SECOND, "cold-from": 0.25},
    "ceilings": {"retry-after": True, "max-retry-after": SECOND},
    "classes": [
        {"name": "quote", "aim": 2 * SECOND, "hard-limit": 4 * SECOND, "effect": "read_like", "worth": 5.0},
        {"name": "card", "aim": 2 * SECOND, "hard-limit": 4 * SECOND, "effect": "non_idempotent"},
    ],
    "clients": {"marks-retry": True},
}


@dataclass(frozen=True, slots=True, kw_only=True)
class SiteOptions:
    """The options of a fake site."""

    max_unavailable: int  # maximum unavailable instances of each site
    fleet_max_unavailable: int = 0  # maximum unavailable instances of the fleet; 0: no limit
    sites: dict[str, str] | None = None  # the site of each host; None: one site
    replicas: tuple[str, ...] = ()  # hosts with a replica of the control plane
    downstream: str = ""  # XML element of the downstream services
    dependencies: dict[str, str] | None = None  # name of the downstream service by instance
    supervision: str = ""  # XML element of the supervision rules
    seed: int = 1
    work: float = 0.005  # seconds that each run takes on average
    max_retry_after: int = 1  # maximum Retry-After of the nodes, in seconds


class FakeSite:
    """Hosts with instances, and the fakes that they use; started by `open`, ended by `close`."""

    def __init__(self, folder: str, hosts: dict[str, list[str]], options: SiteOptions) -> None:
        """`hosts` names the instances of each host."""
        self.folder = folder
        self.hosts = hosts
        self.options = options
        self.dependencies = options.dependencies or {}
        self.sites = options.sites or dict.fromkeys(hosts, "woodbrook")
        self.node_settings = {
            **NODE_SETTINGS,
            "ceilings": {"retry-after": True, "max-retry-after": options.max_retry_after * SECOND},
        }
        self.catalogue = Catalogue()
        self.directory = Directory()
        self.catalogues: dict[str, str] = {}  # addresses other than that of the shared catalogue, by instance
        self.engines: dict[str, Engine] = {}
        self.ports = {host: free_port() for host in hosts}
        self.settings = os.path.join(folder, "fleet.xml")

    async def open(self) -> None:
        """Start the fakes, and write the configurations, keys and settings."""
        catalogue_port = await self.catalogue.open()
        directory_port = await self.directory.open()
        for name in (name for names in self.hosts.values() for name in names):
            self.engines[name] = Engine(
                self.options.seed + len(self.engines), work=self.options.work, runs_per_call=4
            )
            engine_port = await self.engines[name].open()
            self._write_node(
                name,
                engine_port,
                directory_port,
                self.catalogues.get(name, f"127.0.0.1:{catalogue_port}"),
            )
        agents = self.hosts if self.options.replicas else ()
        for key in (*OPERATORS, *agents):
            write_key(os.path.join(self.folder, f"{key}.key"), secrets.token_bytes(32))
        self.write_settings()

    async def close(self) -> None:
        """Close the fakes and wait for their tasks; the files stay."""
        for engine in self.engines.values():
            await engine.close()
        await self.catalogue.close()
        await self.directory.close()

    def write_settings(self, **operators: str) -> None:
        """Write the settings; `operators` replaces the XML elements of operators, by name."""
        self.write_to(self.settings, {}, **operators)

    def write_to(self, path: str, ports: dict[str, int], **operators: str) -> None:
        """Write the settings, with other `ports` for some agents: those of the links between hosts."""
        element = '<operator name="{0}" role="{1}"><key id="{0}-1" file="{0}.key"/></operator>'
        elements = {name: element.format(name, role) for name, role in OPERATORS.items()} | operators
        fleet_limit = (
            f' away="{self.options.fleet_max_unavailable}"' if self.options.fleet_max_unavailable else ""
        )
        lines = [
            f'<fleet xmlns="urn:oakkeel:fleet:1" name="guild"{fleet_limit}>',
            "  <operators>",
            *(f"    {operator}" for operator in elements.values()),
            "  </operators>",
            f"  {self.options.supervision}",
        ]
        if self.options.replicas:
            lines += [
                f'  <keepers hosts="{" ".join(self.options.replicas)}"/>',
                f"  {self.options.downstream}",
            ]
        for site in dict.fromkeys(self.sites.values()):
            lines.append(f'  <site name={quoteattr(site)} away="{self.options.max_unavailable}">')
            for host in self.hosts:
                if self.sites[host] == site:
                    lines += self._host_lines(host, ports.get(host, self.ports[host]))
            lines.append("  </site>")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join([*lines, "</fleet>", ""]))

    def _host_lines(self, host: str, port: int) -> list[str]:
        key = f' key="{host}.key"' if self.options.replicas else ""
        lines = [f'    <host name="{host}" agent="127.0.0.1:{port}" state="{host}"{key}>']
        for name in self.hosts[host]:
            dependencies_attribute = (
                f' below="{self.dependencies[name]}"' if name in self.dependencies else ""
            )
            lines.append(f'      <instance name="{name}" config="{name}.json"{dependencies_attribute}/>')
        return [*lines, "    </host>"]

    def _write_node(self, name: str, engine_port: int, directory_port: int, catalogue: str) -> None:
        """Write the configuration of one instance; `catalogue`: the address of its catalogue."""
        configuration = {
            "name": name,
            "listen": "127.0.0.1:0",
            "engine": f"127.0.0.1:{engine_port}",
            "lookup": f"127.0.0.1:{directory_port}",
            "catalog": catalogue,
            "seed": f"{self.options.seed + len(self.engines):016x}",
            "stop_ms": 3200,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": self.node_settings,
        }
        with open(os.path.join(self.folder, f"{name}.json"), "w", encoding="utf-8") as file:
            json.dump(configuration, file)


# Below the ephemeral range of the kernel: otherwise a connection that is opened meanwhile could get a port
# before it is listened on.
PORTS = range(10_000, 30_000)
# In an order of its own for each process, so that two of them rarely draw the same port; a port comes again
# only after all others, as its first owner may not listen yet.
_port_candidates = itertools.cycle(random.Random().sample(PORTS, len(PORTS)))


def free_port() -> int:
    """Return a port without a listener, another one at each call; for loopback and tests only."""
    while True:
        port = next(_port_candidates)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
