"""Copies of the programs and configurations that instances run: made before a release, pruned after it."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable

import oakkeel
from oakkeel.log import EventLog, describe_error
from oakkeel.rollout.assignments import ArtifactRequest, VersionAssignments
from oakkeel.rollout.commands import VersionSpec
from oakkeel.settings.types import HostSettings, InstanceSettings
from oakkeel.store.content_store import (
    Content,
    ContentError,
    ContentStore,
    apply_merge_patch,
    hash_file,
    hash_folder,
    read_json,
)

MAX_ERROR_LENGTH = 300  # characters of the error that a host reports for a failed preparation
FOLDER_MODE = 0o700
PACKAGE_FOLDER = os.path.dirname(os.path.abspath(oakkeel.__file__))  # of the running program


class ArtifactStore:
    """Copies of the programs and configurations that the instances of one host run."""

    def __init__(
        self, host: HostSettings, assignments: VersionAssignments, log: EventLog, on_ready: Callable[[], None]
    ) -> None:
        """`on_ready` is called after the copies of a release were made, or have failed."""
        self.assignments = assignments
        self.log = log
        self.on_ready = on_ready
        self.settings = {each.name: each for each in host.instances}  # by instance
        self.state_folder = host.state_folder
        self.contents = ContentStore(os.path.join(host.state_folder, "versions"))
        self.tasks: set[asyncio.Task[None]] = set()  # preparations that are not complete

    # Preparation.

    def prepare(self) -> None:
        """Start to copy the content that the leader requests."""
        for request in self.assignments.take_requests():
            task = asyncio.ensure_future(self._prepare(request))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _prepare(self, request: ArtifactRequest) -> None:
        why = ""
        bases: dict[str, str] = {}
        try:
            bases = await asyncio.to_thread(self._copy_content, request)
        except OSError as error:
            why = str(error)
        except Exception as error:
            why = "internal error of the agent; its log has the cause"
            self.log.error("artifact_copy_failed", release=request.release, error=describe_error(error))
        log_result = self.log.warning if why else self.log.info
        log_result(
            "release_prepare_failed" if why else "release_prepared",
            release=request.release,
            version=request.spec.version,
            error=why or None,
        )
        self.assignments.record_prepared(request.release, why[:MAX_ERROR_LENGTH], bases)
        self.on_ready()

    def _copy_content(self, request: ArtifactRequest) -> dict[str, str]:
        """Copy the requested version, and the current content of targets without an assigned version.

        Returns the versions of the current content by target, for a roll back. Raises OSError.
        """
        os.makedirs(os.path.join(self.contents.folder, "content"), mode=FOLDER_MODE, exist_ok=True)
        self._import_version(request.spec)
        bases = {}
        program = ""
        for target in request.targets:
            settings = self.settings[target]
            # Raises if the configuration can't be merged, before any process depends on it.
            self._merged_config(settings, self.contents.find(request.spec.version))
            if self.assignments.version(target):
                continue
            program = program or self.contents.add_folder(PACKAGE_FOLDER, "oakkeel")
            config = self.contents.add_file(settings.config_path)
            bases[target] = self.contents.add_version(Content(program, "", config))
        return bases

    def _import_version(self, spec: VersionSpec) -> None:
        """Copy the content of a version. Raises ContentError."""
        if self.contents.find(spec.version):
            return
        program = self.contents.add_folder(spec.program) if spec.program else ""
        if program and not self._is_runnable(program):
            raise ContentError(f"{spec.program} has neither an executable file `run` nor oakkeel/__main__.py")
        patch = self.contents.add_file(spec.patch) if spec.patch else ""
        if patch:
            read_json(self.contents.copy_path(patch))
        if (version := self.contents.add_version(Content(program, patch))) != spec.version:
            raise ContentError(f"the content on this host is version {version}, expected {spec.version}")

    def _is_runnable(self, program: str) -> bool:
        folder = self.contents.copy_path(program)
        return os.access(os.path.join(folder, "run"), os.X_OK) or os.path.exists(
            os.path.join(folder, "oakkeel", "__main__.py")
        )

    # Launching.

    def launch_command(self, name: str, program: list[str]) -> tuple[list[str], dict[str, str]]:
        """The command of an instance's next process, and its additional environment variables.

        Raises ContentError if the version of the instance is not on this host.
        """
        version = self.assignments.version(name)
        settings = self.settings[name]
        if not version:
            return program, {}
        content = self.contents.find(version)
        if content is None and (spec := self.assignments.sources.get(version)):
            self._import_version(spec)  # the copy was lost: the source is copied again
            content = self.contents.find(version)
        if content is None:
            raise ContentError(f"this host has no copy of version {version}")
        variables = {"OAKKEEL_VERSION": version}
        if content.program:
            folder = self.contents.copy_path(content.program)
            if os.access(run := os.path.join(folder, "run"), os.X_OK):
                program = [run]
            else:
                variables["PYTHONPATH"] = folder
        if content.patch or content.config:
            path = os.path.join(self.state_folder, f"{name}.config.json")
            with open(path + ".new", "w", encoding="utf-8") as file:
                json.dump(self._merged_config(settings, content), file)
            os.replace(path + ".new", path)
            variables["PROXY_CONFIG"] = path
        return program, variables

    def _merged_config(self, settings: InstanceSettings, content: Content | None) -> object:
        config = read_json(
            self.contents.copy_path(content.config) if content and content.config else settings.config_path
        )
        if content is None or not content.patch:
            return config
        return apply_merge_patch(config, read_json(self.contents.copy_path(content.patch)))

    def prune(self, running_versions: set[str]) -> None:
        """Delete versions that neither a release nor an instance needs.

        `running_versions` holds the versions of running processes, which may still read their copies.
        """
        if self.tasks or self.assignments.release:
            return
        if pruned_versions := self.contents.prune(self.assignments.needed_versions() | running_versions):
            self.log.info("artifacts_pruned", versions=",".join(pruned_versions))

    def close(self) -> None:
        """Cancel the copies that are not complete."""
        for task in self.tasks:
            task.cancel()


def version_of(program: str, patch: str) -> str:
    """Compute the version of a program and a patch from their paths; one path may be empty.

    Raises ContentError.
    """
    content = Content(hash_folder(program) if program else "", hash_file(patch) if patch else "")
    if patch:
        read_json(patch)
    return content.version
