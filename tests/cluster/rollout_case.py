"""The base test case for releases with many processes.

Each test ends with invariant checks of the agents' logs and the nodes' journals.
"""

import os
import sys

from oakkeel.agent import messages
from oakkeel.agent.artifacts import version_of
from oakkeel.invariants.rollout import find_diverging_steps, read_running_versions
from oakkeel.rollout.commands import RolloutPolicy, VersionSpec
from oakkeel.units import SECOND
from tests.support.rig_case import HOSTS, RigTestCase

FAST_POLICY = {"soak": 300_000_000, "batch_timeout": 10 * SECOND, "verdict_timeout": 20 * SECOND}
ALL_TARGETS = [name for names in HOSTS.values() for name in names]


def is_target_changing(status: messages.ReleaseStatus) -> bool:
    return any(entry.state == "changing" for entry in status.targets)


class RolloutCase(RigTestCase):
    async def close_and_audit(self) -> None:
        diverging = find_diverging_steps(self.folder, self.hosts)
        await super().close_and_audit()
        self.assertEqual(diverging, [])

    def write_program(self, name: str, behaviour: str = "") -> VersionSpec:
        """Write a fake-node program with a behaviour, and return its version."""
        folder = os.path.join(self.folder, name)
        os.makedirs(folder)
        with open(os.path.join(folder, "run"), "w", encoding="ascii") as file:
            environment = f'OAKKEEL_BEHAVE="{behaviour}"'
            file.write(f"#!/bin/sh\n# {name}\n{environment} exec {sys.executable} -m oakkeel.fakes.node\n")
        os.chmod(os.path.join(folder, "run"), 0o755)
        return VersionSpec(version_of(folder, ""), folder)

    async def ask_leader(self, request: messages.Request) -> messages.Response:
        """Return the leader's response; retry while there is no leader."""
        response: messages.Response | None = None

        async def is_answered() -> bool:
            nonlocal response
            response = await self.rig.clients.request_leader(request)
            return True

        await self.rig.wait_until("the leader answers", is_answered)
        assert response is not None
        return response

    async def start_release(
        self, spec: VersionSpec, targets=ALL_TARGETS, release_id: str = "r", **policy
    ) -> messages.Response:
        return await self.ask_leader(
            messages.StartReleaseRequest(
                release_id, spec, RolloutPolicy(**(FAST_POLICY | policy)), list(targets)
            )
        )

    async def control_release(self, action: str, release_id: str = "r") -> messages.Response:
        return await self.ask_leader(messages.ControlReleaseRequest(release_id, action))

    async def status(self, release_id: str = "r") -> messages.ReleaseStatus:
        response = await self.ask_leader(messages.ReleaseStatusRequest(release_id))
        assert isinstance(response, messages.ReleaseStatus), response
        return response

    async def wait_for_status(
        self, condition: str, has_reached, timeout: float = 60.0, release_id: str = "r"
    ) -> messages.ReleaseStatus:
        status: messages.ReleaseStatus | None = None

        async def is_reached() -> bool:
            nonlocal status
            response = await self.rig.clients.request_leader(messages.ReleaseStatusRequest(release_id))
            assert isinstance(response, messages.ReleaseStatus), response
            status = response
            return has_reached(response)

        try:
            await self.rig.wait_until(condition, is_reached, timeout)
        except TimeoutError as error:
            last_seen = status and (status.state, status.step, status.why, status.waiting_for)
            raise AssertionError(f"{error}: {last_seen}") from None
        assert status is not None
        return status

    async def wait_for_end(
        self, *states: str, timeout: float = 60.0, release_id: str = "r"
    ) -> messages.ReleaseStatus:
        return await self.wait_for_status(
            f"the release is {states}", lambda status: status.state in states, timeout, release_id
        )

    async def assert_all_run(self, version: str, targets=ALL_TARGETS) -> None:
        """Check that the processes wrote this version to their journals."""
        await self.rig.wait_until_serving(targets)
        running_versions = read_running_versions(self.folder, self.hosts)
        self.assertEqual({name: running_versions[name] for name in targets}, dict.fromkeys(targets, version))
