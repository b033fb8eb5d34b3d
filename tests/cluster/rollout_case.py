"""What the tests of releases with many processes share.

Each test ends with the invariant checks of what agents logged and nodes wrote to their journals.
"""

import os
import sys

from oakkeel.agent import messages
from oakkeel.agent.artifacts import version_of
from oakkeel.invariants.rollout import find_diverging_steps, read_running_versions
from oakkeel.rollout.commands import RolloutPolicy, VersionSpec
from oakkeel.units import SECOND
from tests.support.rig_case import HOSTS, RigTestCase

QUICK = {"soak": 300_000_000, "batch_timeout": 10 * SECOND, "verdict_timeout": 20 * SECOND}
ALL = [name for names in HOSTS.values() for name in names]


def is_out(status: messages.ReleaseStatus) -> bool:
    return any(entry.state == "changing" for entry in status.targets)


class RolloutCase(RigTestCase):
    async def end(self) -> None:
        diverging = find_diverging_steps(self.folder, self.hosts)
        await super().end()
        self.assertEqual(diverging, [])

    def program(self, name: str, behaviour: str = "") -> VersionSpec:
        """Write a new program of fake nodes with a behaviour, and return its version."""
        folder = os.path.join(self.folder, name)
        os.makedirs(folder)
        with open(os.path.join(folder, "run"), "w", encoding="ascii") as file:
            environment = f'OAKKEEL_BEHAVE="{behaviour}"'
            file.write(f"#!/bin/sh\n# {name}\n{environment} exec {sys.executable} -m oakkeel.fakes.node\n")
        os.chmod(os.path.join(folder, "run"), 0o755)
        return VersionSpec(version_of(folder, ""), folder)

    async def ask_leader(self, request: messages.Request) -> messages.Response:
        """Return the leader's response, through changes of leader."""
        answer: messages.Response | None = None

        async def answered() -> bool:
            nonlocal answer
            answer = await self.rig.clients.request_leader(request)
            return True

        await self.rig.wait_until("the leader answers", answered)
        assert answer is not None
        return answer

    async def start_release(
        self, spec: VersionSpec, targets=ALL, ident: str = "r", **policy
    ) -> messages.Response:
        return await self.ask_leader(
            messages.StartReleaseRequest(ident, spec, RolloutPolicy(**(QUICK | policy)), list(targets))
        )

    async def control(self, action: str, ident: str = "r") -> messages.Response:
        return await self.ask_leader(messages.ControlReleaseRequest(ident, action))

    async def status(self, ident: str = "r") -> messages.ReleaseStatus:
        answer = await self.ask_leader(messages.ReleaseStatusRequest(ident))
        assert isinstance(answer, messages.ReleaseStatus), answer
        return answer

    async def wait_for_status(
        self, condition: str, done, wait: float = 60.0, ident: str = "r"
    ) -> messages.ReleaseStatus:
        found: messages.ReleaseStatus | None = None

        async def is_reached() -> bool:
            nonlocal found
            answer = await self.rig.clients.request_leader(messages.ReleaseStatusRequest(ident))
            assert isinstance(answer, messages.ReleaseStatus), answer
            found = answer
            return done(answer)

        try:
            await self.rig.wait_until(condition, is_reached, wait)
        except TimeoutError as error:
            seen = found and (found.state, found.step, found.why, found.waiting_for)
            raise AssertionError(f"{error}: {seen}") from None
        assert found is not None
        return found

    async def wait_for_end(
        self, *states: str, wait: float = 60.0, ident: str = "r"
    ) -> messages.ReleaseStatus:
        return await self.wait_for_status(
            f"it is {states}", lambda status: status.state in states, wait, ident
        )

    async def assert_all_run(self, version: str, targets=ALL) -> None:
        """Check the versions that the processes wrote to their journals."""
        await self.rig.wait_until_serving(targets)
        runs = read_running_versions(self.folder, self.hosts)
        self.assertEqual({name: runs[name] for name in targets}, dict.fromkeys(targets, version))
