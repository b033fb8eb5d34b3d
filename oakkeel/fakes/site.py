"""A small site in one folder: engines, catalogue and directory, settings and keys for agents and nodes."""

from __future__ import annotations

import contextlib
import json
import os
import secrets
import socket
from xml.sax.saxutils import quoteattr

from oakkeel.fakes.catalogue import Catalogue
from oakkeel.fakes.directory import Directory
from oakkeel.fakes.engine import Engine
from oakkeel.settings.keys import write_key

MS = 1_000_000
SECOND = 1000 * MS
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


class FakeSite:
    """Hosts with instances, and all that stands round them. Made in `open`, ended in `close`."""

    def __init__(
        self,
        folder: str,
        hosts: dict[str, list[str]],
        away: int,
        seed: int = 1,
        work: float = 0.005,
        supervision: str = "",
        sites: dict[str, str] | None = None,
        most_return: int = 1,
        keepers: tuple[str, ...] = (),
        fleet_away: int = 0,
        below: str = "",
        hanging: dict[str, str] | None = None,
    ) -> None:
        """`hosts` names the instances of each; `sites` the site of each host, where there are several;
        `below` is the element of that name, and `hanging` names the services of some instances."""
        self.keepers, self.fleet_away, self.below, self.hanging = keepers, fleet_away, below, hanging or {}
        self.folder, self.hosts, self.away, self.seed, self.work = folder, hosts, away, seed, work
        self.supervision = supervision
        self.told = {
            **NODE_SETTINGS,
            "ceilings": {"retry-after": True, "max-retry-after": most_return * SECOND},
        }
        self.sites = sites or dict.fromkeys(hosts, "woodbrook")
        self.catalogue, self.directory = Catalogue(), Directory()
        self.catalogues: dict[str, str] = {}  # addresses in place of the one, by instance
        self.engines: dict[str, Engine] = {}
        self.ports = {host: free_port() for host in hosts}
        self.settings = os.path.join(folder, "fleet.xml")

    async def open(self) -> None:
        catalogue, lookup = await self.catalogue.open(), await self.directory.open()
        for name in (name for names in self.hosts.values() for name in names):
            self.engines[name] = Engine(self.seed + len(self.engines), work=self.work, calls=4)
            port = await self.engines[name].open()
            told = {
                "name": name,
                "listen": "127.0.0.1:0",
                "engine": f"127.0.0.1:{port}",
                "lookup": f"127.0.0.1:{lookup}",
                "catalog": self.catalogues.get(name, f"127.0.0.1:{catalogue}"),
                "seed": f"{self.seed + len(self.engines):016x}",
                "stop_ms": 3200,
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "settings": self.told,
            }
            with open(os.path.join(self.folder, f"{name}.json"), "w", encoding="utf-8") as file:
                json.dump(told, file)
        for key in ("asha", "lena", "ravi"):
            write_key(os.path.join(self.folder, f"{key}.key"), secrets.token_bytes(32))
        for host in self.hosts if self.keepers else ():
            write_key(os.path.join(self.folder, f"{host}.key"), secrets.token_bytes(32))
        self.write_settings()

    def write_settings(self, **operators: str) -> None:
        """`operators`: the whole elements of those that are not as they were at first."""
        self.write_to(self.settings, {}, **operators)

    def write_to(self, path: str, ports: dict[str, int], **operators: str) -> None:
        """With other ports of agents, as far as told: what stands between hosts."""
        element = '<operator name="{0}" role="{1}"><key id="{0}-1" file="{0}.key"/></operator>'
        first = {
            name: element.format(name, role)
            for name, role in (("asha", "act"), ("ravi", "act"), ("lena", "view"))
        }
        told = first | operators
        away = f' away="{self.fleet_away}"' if self.fleet_away else ""
        lines = [
            f'<fleet xmlns="urn:oakkeel:fleet:1" name="guild"{away}>',
            "  <operators>",
            *(f"    {each}" for each in told.values()),
            "  </operators>",
            f"  {self.supervision}",
        ]
        if self.keepers:
            lines += [f'  <keepers hosts="{" ".join(self.keepers)}"/>', f"  {self.below}"]
        for site in dict.fromkeys(self.sites.values()):
            lines.append(f'  <site name={quoteattr(site)} away="{self.away}">')
            for host, names in self.hosts.items():
                if self.sites[host] != site:
                    continue
                key = f' key="{host}.key"' if self.keepers else ""
                port = ports.get(host, self.ports[host])
                lines.append(f'    <host name="{host}" agent="127.0.0.1:{port}" state="{host}"{key}>')
                for name in names:
                    below = f' below="{self.hanging[name]}"' if name in self.hanging else ""
                    lines.append(f'      <instance name="{name}" config="{name}.json"{below}/>')
                lines.append("    </host>")
            lines.append("  </site>")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join([*lines, "</fleet>", ""]))

    async def close(self) -> None:
        for engine in self.engines.values():
            await engine.close()
        await self.catalogue.close()
        await self.directory.close()


def free_port() -> int:
    """One that nobody listens on, for loopback and tests only. Below those that the kernel gives out itself:
    else a link that is opened meanwhile may have it by the time that it is listened on."""
    while True:
        port = 10_000 + secrets.randbelow(20_000)
        with socket.socket() as found, contextlib.suppress(OSError):
            found.bind(("127.0.0.1", port))
            return port
