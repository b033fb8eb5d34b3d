"""Starts the processes of instances, with their environment variables and node settings."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass

from oakkeel.agent.artifacts import ArtifactStore
from oakkeel.agent.instances import Instance
from oakkeel.agent.node_configuration import read_stop_after
from oakkeel.agent.processes import Process, Processes
from oakkeel.settings.types import FairSharingSettings, HostSettings, InstanceSettings

CONFIG_VARIABLE = "PROXY_CONFIG"
VERSION_VARIABLE = "OAKKEEL_VERSION"
NODE_SETTINGS_VARIABLE = "OAKKEEL_TOLD"
NODE_SETTINGS_SUFFIX = "told"  # of the file with a node's fair-sharing settings
FLOW_SNAPSHOT_SUFFIX = "shares"  # of the file with the snapshot of a node's flows


@dataclass(slots=True, frozen=True)
class LaunchedProcess:
    """A new process and the version that a release has assigned to its instance."""

    process: Process
    version: str | None  # None: the process runs the program and configuration of the settings
    stop_after_ns: int  # from SIGTERM until it may be killed, by its configuration; 0: unknown


class InstanceLauncher:
    """Starts the processes of one host's instances."""

    def __init__(
        self,
        host: HostSettings,
        processes: Processes,
        program: tuple[str, ...],
        fair_sharing: FairSharingSettings | None,
    ) -> None:
        """`program` is the command of a node that no release has assigned a version to."""
        self.processes = processes
        self.program = list(program)
        self.fair_sharing = fair_sharing
        self.settings: dict[str, InstanceSettings] = {each.name: each for each in host.instances}  # by name
        self.artifacts: ArtifactStore | None = None  # None: the fleet has no releases

    def launch(self, instance: Instance) -> LaunchedProcess:
        """Start a process of the instance's generation. Raises OSError."""
        name = instance.name
        variables = self._environment_variables(name)
        self.write_node_settings(name)
        program = self.program
        if self.artifacts:
            program, version_variables = self.artifacts.launch_command(name, program)
            variables |= version_variables
        process = self.processes.spawn(name, instance.process_generation, program, variables)
        stop_after_ns = read_stop_after(variables[CONFIG_VARIABLE])
        return LaunchedProcess(process, variables.get(VERSION_VARIABLE), stop_after_ns)

    def _environment_variables(self, name: str) -> dict[str, str]:
        """The environment variables of a node, without the variables that a release adds."""
        settings = self.settings[name]
        variables = {
            **os.environ,
            CONFIG_VARIABLE: settings.config_path,
            "PROXY_NAME": settings.name,
            "OAKKEEL_CONTROL": self.processes.path(name, "sock"),
            "OAKKEEL_LOG": settings.log_format,
        }
        if settings.listen:
            variables["PROXY_LISTEN"] = settings.listen
        if self.fair_sharing:
            variables[NODE_SETTINGS_VARIABLE] = self.processes.path(name, NODE_SETTINGS_SUFFIX)
        return variables

    def write_node_settings(self, name: str) -> None:
        """Write the fair-sharing settings of a node to its file: nodes read no XML."""
        if not self.fair_sharing:
            return
        path = self.processes.path(name, NODE_SETTINGS_SUFFIX)
        snapshot_path = self.processes.path(name, FLOW_SNAPSHOT_SUFFIX)
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump({"fair": self.fair_sharing.node_settings(snapshot_path)}, file)
        os.replace(path + ".new", path)

    def update_fair_sharing(self, fair_sharing: FairSharingSettings | None) -> bool:
        """Apply new fair-sharing settings; return True if nodes have to read them again.

        Fair sharing can't be switched on or off while nodes run.
        """
        if not self.fair_sharing or not fair_sharing or self.fair_sharing == fair_sharing:
            return False
        self.fair_sharing = fair_sharing
        return True
