"""What instances run: copies of programs and configurations, made before a release, kept until it is over."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable

import oakkeel
from oakkeel.log import EventLog, fault
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

PACKAGE = os.path.dirname(os.path.abspath(oakkeel.__file__))


class ArtifactStore:
    """Copies of the programs and configurations that the instances of one host run."""

    def __init__(
        self, host: HostSettings, assignments: VersionAssignments, log: EventLog, on_ready: Callable[[], None]
    ) -> None:
        """`moved` is called once copies are made, or can't be."""
        self.assignments, self.log, self.on_ready = assignments, log, on_ready
        self.settings = {each.name: each for each in host.instances}
        self.state = host.state
        self.contents = ContentStore(os.path.join(host.state, "versions"))
        self.tasks: set[asyncio.Task[None]] = set()

    # Making ready.

    def prepare(self) -> None:
        """Make the copies that are asked for, beside all else."""
        for copy in self.assignments.take_requests():
            task = asyncio.ensure_future(self._prepare(copy))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _prepare(self, copy: ArtifactRequest) -> None:
        why, bases = "", {}
        try:
            bases = await asyncio.to_thread(self._copy, copy)
        except OSError as error:
            why = str(error)
        except Exception as error:
            why = "an error of the agent"
            self.log.error("artifact_copy_failed", release=copy.release, error=fault(error))
        report = self.log.warning if why else self.log.info
        report(
            "release_prepare_failed" if why else "release_prepared",
            release=copy.release,
            version=copy.spec.version,
            error=why or None,
        )
        self.assignments.record_prepared(copy.release, why[:300], bases)
        self.on_ready()

    def _copy(self, copy: ArtifactRequest) -> dict[str, str]:
        """Raises OSError. Returns the versions of what the things run by their settings."""
        os.makedirs(os.path.join(self.contents.folder, "content"), mode=0o700, exist_ok=True)
        self._import(copy.spec)
        bases, program = {}, ""
        for target in copy.targets:
            settings = self.settings[target]
            self._merged_config(
                settings, self.contents.find(copy.spec.version)
            )  # can it be? Before it has to be
            if self.assignments.version(target):
                continue
            program = program or self.contents.add_folder(PACKAGE, "oakkeel")  # that the agent itself is of
            bases[target] = self.contents.add_version(
                Content(program, "", self.contents.add_file(settings.config))
            )
        return bases

    def _import(self, what: VersionSpec) -> None:
        if self.contents.find(what.version):
            return
        program = self.contents.add_folder(what.program) if what.program else ""
        if program and not self._is_runnable(program):
            raise ContentError(
                f"{what.program}: neither a file `run` that can be executed, nor oakkeel/__main__.py"
            )
        patch = self.contents.add_file(what.patch) if what.patch else ""
        if patch:
            read_json(self.contents.path(patch))
        if (found := self.contents.add_version(Content(program, patch))) != what.version:
            raise ContentError(f"what is found here is version {found}, not {what.version}")

    def _is_runnable(self, program: str) -> bool:
        folder = self.contents.path(program)
        return os.access(os.path.join(folder, "run"), os.X_OK) or os.path.exists(
            os.path.join(folder, "oakkeel", "__main__.py")
        )

    # Running.

    def launch_command(self, name: str, program: list[str]) -> tuple[list[str], dict[str, str]]:
        """How the next process of an instance is started: words, and variables beside the rest. Raises
        ContentError where its version is not here."""
        version, settings = self.assignments.version(name), self.settings[name]
        if not version:
            return program, {}
        content = self.contents.find(version)
        if content is None and (what := self.assignments.sources.get(version)):
            self._import(what)  # our copy is lost: made again where it came from
            content = self.contents.find(version)
        if content is None:
            raise ContentError(f"version {version} is not here")
        variables = {"OAKKEEL_VERSION": version}
        if content.program:
            folder = self.contents.path(content.program)
            if os.access(run := os.path.join(folder, "run"), os.X_OK):
                program = [run]
            else:
                variables["PYTHONPATH"] = folder
        if content.patch or content.config:
            path = os.path.join(self.state, f"{name}.config.json")
            with open(path + ".new", "w", encoding="utf-8") as file:
                json.dump(self._merged_config(settings, content), file)
            os.replace(path + ".new", path)
            variables["PROXY_CONFIG"] = path
        return program, variables

    def _merged_config(self, settings: InstanceSettings, content: Content | None) -> object:
        config = read_json(
            self.contents.path(content.config) if content and content.config else settings.config
        )
        if content is None or not content.patch:
            return config
        return apply_merge_patch(config, read_json(self.contents.path(content.patch)))

    def prune(self, running: set[str]) -> None:
        """Forget what no release and no instance needs; `running`: what processes were started from. One that
        goes on from a copy may still read from it."""
        if self.tasks or self.assignments.release:
            return
        if dropped := self.contents.prune(self.assignments.needed_versions() | running):
            self.log.info("artifacts_pruned", versions=",".join(dropped))

    def close(self) -> None:
        """Cancel copies that are being made."""
        for task in self.tasks:
            task.cancel()


def version_of(program: str, patch: str) -> str:
    """Of what lies at two paths, either of which may be empty. Raises ContentError."""
    content = Content(hash_folder(program) if program else "", hash_file(patch) if patch else "")
    if patch:
        read_json(patch)
    return content.version
