import asyncio
import contextlib
import json
import os
import subprocess
import sys
import unittest

from oakkeel.agent import messages
from oakkeel.authentication.framing import encode_frame
from oakkeel.authentication.mac import Key, Role
from oakkeel.disruption.messages import Heartbeat
from oakkeel.fleet.agent_clients import request_once
from oakkeel.raft.messages import Envelope, RecoveryRequest
from oakkeel.settings.keys import read_agent_keys
from tests.support.rig_case import RigTestCase


class MembershipTest(RigTestCase):
    async def test_membership_grows_from_three_to_five_while_one_replica_is_partitioned(self):
        partitioned = await self.follower()
        self.rig.links.partition([partitioned], [host for host in self.hosts if host != partitioned])
        command = [
            sys.executable,
            "-m",
            "oakkeel",
            "keepers",
            "--settings",
            self.site.settings,
            "--as",
            "asha",
            "--output",
            "json",
            "set",
            "h1",
            "h2",
            "h3",
            "h4",
            "h5",
        ]
        completed = await asyncio.to_thread(subprocess.run, command, capture_output=True, text=True)
        self.assertEqual(completed.returncode, 0, completed)
        members = json.loads(completed.stdout)["members"]
        self.assertEqual(sorted(member["name"] for member in members if member["votes"]), sorted(self.hosts))
        self.rig.links.clear_faults()
        for host in list(self.replicas)[:2]:
            await self.rig.kill_agent(host)
        await self.rig.wait_for_leader()
        await self.submit_order_with_retry("o1", "restart", ["n5a"])
        # The instances of the killed agents count as unavailable until the agents are restarted.
        for host in list(self.replicas)[:2]:
            await self.rig.start_agent(host)
        self.assertEqual(await self.rig.wait_until_ended("o1"), {"n5a": "done"})

    async def test_messages_with_unknown_keys_wrong_senders_or_wrong_sizes_change_nothing(self):
        leader = await self.rig.wait_for_leader()
        address = ("127.0.0.1", self.site.ports[leader])
        status_before = (await self.rig.raft_statuses())[leader]
        for malformed_data in (
            encode_frame(b"what"),
            (0).to_bytes(4, "big"),
            (100 << 20).to_bytes(4, "big") + bytes(1 << 20),
        ):
            reader, writer = await asyncio.open_connection(*address)
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await reader.readexactly(4)
                writer.write(malformed_data)
                await asyncio.wait_for(reader.read(), 5)
            writer.close()
        keys = read_agent_keys(self.rig.fleet)
        envelope = Envelope("0" * 16, "h9", "h9.1", RecoveryRequest(1, True, 9, 9, 9))
        unknown_key = Key("agent:h1", "h1", Role.AGENT, os.urandom(32))
        with self.assertRaisesRegex(OSError, "rejected key"):
            await request_once(address, unknown_key, messages.PeerEnvelopesRequest([envelope]))
        follower = next(host for host in self.hosts if host != leader)
        # The sender in the envelope is not the host of the key.
        answer = await request_once(address, keys[follower], messages.PeerEnvelopesRequest([envelope]))
        self.assertIsInstance(answer, messages.PeerEnvelopesResponse)
        answer = await request_once(
            address, keys[follower], messages.HeartbeatRequest(Heartbeat(leader, 1, 1, 0, [], [], {}))
        )
        self.assertRegex(answer.why, f"a heartbeat of {leader} can't be sent with the key of {follower}")
        answer = await request_once(
            address, keys[follower], messages.FleetOrderRequest("x", "drain", [("n1a", 1)], 1)
        )
        self.assertRegex(answer.why, "the role of key .* does not allow that request")
        answer = await request_once(address, self.rig.clients.key, messages.PeerEnvelopesRequest([envelope]))
        self.assertRegex(answer.why, "the role of key .* does not allow that request")
        status_after = (await self.rig.raft_statuses())[leader]
        self.assertEqual(
            (status_after.term, status_after.leader, len(status_after.members)),
            (status_before.term, leader, 3),
        )

    async def test_commands_of_a_new_user_work_on_a_running_fleet(self):
        leader = await self.rig.wait_for_leader()

        def run_command(*arguments: str) -> subprocess.CompletedProcess:
            return subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "oakkeel",
                    *arguments,
                    "--settings",
                    self.site.settings,
                    "--as",
                    "asha",
                ],
                capture_output=True,
                text=True,
            )

        shown = await asyncio.to_thread(run_command, "keepers")
        self.assertEqual(shown.returncode, 0, shown)
        self.assertIn("leading", next(line for line in shown.stdout.splitlines() if line.startswith(leader)))
        drained = await asyncio.to_thread(run_command, "drain", "n4a", "--id", "d1", "--whole")
        self.assertEqual(drained.returncode, 0, drained)
        shown = await asyncio.to_thread(run_command, "places", "--output", "json")
        shown_places = json.loads(shown.stdout)
        self.assertEqual([entry["thing"] for entry in shown_places["out"]], ["n4a"])
        halted = await asyncio.to_thread(run_command, "drain", "--halt", "d1")
        self.assertEqual(halted.returncode, 0, halted)
        cancelled = await asyncio.to_thread(run_command, "cancel", "d1")
        self.assertEqual(cancelled.returncode, 0, cancelled)
        await self.rig.wait_until_serving(["n4a"])
        rejected = await asyncio.to_thread(run_command, "cancel", "d9")
        self.assertEqual((rejected.returncode, rejected.stderr), (1, "oakkeel: unknown order d9\n"))


if __name__ == "__main__":
    unittest.main()
