"""A rig of processes on loopback: agents with nodes, faulty links between all hosts, and fault injection.

The rig ends only processes that it started, by process ID. The ID of a node comes from its PID file and is
used only while the node holds its lock.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import time
from random import Random

from oakkeel.agent.processes import Processes
from oakkeel.fakes.control_plane import ControlPlane
from oakkeel.fakes.link_mesh import LinkMesh
from oakkeel.fakes.site import FakeSite
from oakkeel.fleet.agent_clients import AgentClients
from oakkeel.settings.fleet import read_fleet
from oakkeel.settings.keys import read_operator_key

RAFT_DATABASE = "record.db"


class ProcessRig(ControlPlane):
    """The agents of a site as processes, with fault injection."""

    def __init__(self, site: FakeSite, seed: int = 1, with_real_nodes: bool = False) -> None:
        """`with_real_nodes`: with real nodes instead of fake nodes."""
        super().__init__(site)
        self.with_real_nodes = with_real_nodes
        self.agents: dict[str, asyncio.subprocess.Process] = {}
        self.links = LinkMesh(site.ports, Random(seed))

    async def open(self) -> None:
        """Open the site and the links, and start all agents."""
        site = self.site
        await site.open()
        self.fleet = read_fleet(site.settings)
        self.clients = AgentClients(self.fleet, read_operator_key(self.fleet, "asha"))
        for host in site.hosts:
            site.write_to(self.settings_path(host), await self.links.open(host))
            os.makedirs(self.state_folder(host), exist_ok=True)
            if self.with_real_nodes:
                self.enable_fault(host, "real")
        for host in site.hosts:
            await self.start_agent(host)

    async def close(self) -> None:
        """Kill all agents and nodes, then close the links and the site."""
        for host in list(self.agents):
            await self.kill_agent(host)
        for host, names in self.site.hosts.items():
            processes = Processes(self.state_folder(host), lambda process, why: None)
            for name in names:
                if processes.is_running(name) and (process := processes.adopt(name)):
                    processes.signal(process, signal.SIGCONT)
                    processes.signal(process, signal.SIGKILL)
            processes.close()
        await self.links.close()
        await self.site.close()

    def settings_path(self, host: str) -> str:
        """Return the path of the settings of a host's agent, with the ports of its links."""
        return os.path.join(self.site.folder, f"fleet-{host}.xml")

    def state_folder(self, host: str) -> str:
        """Return the state folder of a host's agent."""
        return os.path.join(self.site.folder, host)

    async def start_agent(self, host: str) -> None:
        """Start the agent of a host with the state in its folder."""
        with open(os.path.join(self.site.folder, f"{host}.agent.log"), "ab") as log:
            self.agents[host] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "oakkeel.fakes.agent",
                self.settings_path(host),
                host,
                stderr=log,
                start_new_session=True,
            )

    async def kill_agent(self, host: str) -> None:
        """Kill the agent of a host with SIGKILL, if it runs; its nodes continue."""
        if process := self.agents.pop(host, None):
            if process.returncode is None:
                process.kill()
            await process.wait()

    def suspend_agent(self, host: str) -> None:
        """Suspend the agent of a host with SIGSTOP."""
        self.agents[host].send_signal(signal.SIGSTOP)

    def resume_agent(self, host: str) -> None:
        """Resume a suspended agent with SIGCONT."""
        self.agents[host].send_signal(signal.SIGCONT)

    def kill_node(self, name: str) -> None:
        """Kill a node with SIGKILL, if it runs, and record that in its journal."""
        folder = self.state_folder(self._host_of(name))
        processes = Processes(folder, lambda process, why: None)
        if processes.is_running(name) and (process := processes.adopt(name)):
            with open(os.path.join(folder, f"{name}.journal"), "a", encoding="ascii") as file:
                file.write(f"killed {process.generation} {process.pid} {time.monotonic_ns()}\n")
            processes.signal(process, signal.SIGKILL)
        processes.close()

    def set_node_script(self, name: str, behaviours: str) -> None:
        """Set the behaviour of a fake node; `oakkeel.fakes.node` describes the `behaviours`."""
        path = os.path.join(self.state_folder(self._host_of(name)), f"{name}.script")
        with open(path, "w", encoding="ascii") as file:
            file.write(behaviours)

    def enable_fault(self, host: str, fault: str, text: str = "") -> None:
        """Enable a fault of an agent; `oakkeel.fakes.agent` describes the faults and their `text`."""
        with open(os.path.join(self.state_folder(host), fault), "w", encoding="ascii") as file:
            file.write(text)

    def disable_fault(self, host: str, fault: str) -> None:
        """Disable an enabled fault of an agent."""
        os.unlink(os.path.join(self.state_folder(host), fault))

    def delete_databases(self, host: str, *names: str) -> None:
        """Delete the databases `names` of an agent that does not run: `record.db`, `agent.db` or both."""
        for name in names:
            for suffix in ("", "-wal", "-shm"):
                path = os.path.join(self.state_folder(host), name + suffix)
                if os.path.exists(path):
                    os.unlink(path)

    def back_up_replica(self, host: str) -> str:
        """Copy the Raft database of a host in its present state; returns the folder of the copy."""
        folder = tempfile.mkdtemp(prefix=f"backup-{host}-", dir=self.site.folder)
        for name in os.listdir(self.state_folder(host)):
            if name.startswith(RAFT_DATABASE):
                shutil.copy(os.path.join(self.state_folder(host), name), folder)
        return folder

    def restore_replica(self, host: str, backup: str) -> None:
        """Restore the Raft database of an agent that does not run from a copy."""
        self.delete_databases(host, RAFT_DATABASE)
        for name in os.listdir(backup):
            shutil.copy(os.path.join(backup, name), self.state_folder(host))

    def _host_of(self, name: str) -> str:
        return next(host for host, names in self.site.hosts.items() if name in names)
