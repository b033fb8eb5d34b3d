"""Stories of many processes: agents that agree while some are killed, stopped, cut off or lose their files.

Each ends with the auditor reading what agents logged and nodes wrote down.
"""

import asyncio
import contextlib
import json
import os
import subprocess
import sys
import tempfile
import time
import unittest

from measure import drain
from oakkeel.agent import messages
from oakkeel.authentication.framing import frame
from oakkeel.authentication.mac import Key, Role
from oakkeel.disruption.allocator import PermitTimeouts
from oakkeel.disruption.messages import Heartbeat
from oakkeel.fakes.rig import ProcessRig
from oakkeel.fakes.site import FakeSite, free_port
from oakkeel.fleet.agent_clients import NoLeaderError, request_once
from oakkeel.invariants.logs import audit
from oakkeel.raft.messages import Envelope, RecoveryRequest
from oakkeel.settings.keys import read_agent_keys

HOSTS = {f"h{number}": [f"n{number}a", f"n{number}b"] for number in range(1, 6)}
SITES = {"h1": "woodbrook", "h2": "woodbrook", "h3": "belmont", "h4": "belmont", "h5": "belmont"}
SUPERVISION = '<supervision silent="500ms" start="5s" drain="3s" backoff="200ms"/>'
LATE = PermitTimeouts().expiry + PermitTimeouts().agent_silence + 2_000_000_000


class RigStory(unittest.IsolatedAsyncioTestCase):
    hosts, sites, keepers = HOSTS, SITES, ("h1", "h2", "h3")
    below, hanging, away, fleet_away = "", {}, 1, 2

    async def asyncSetUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.site = FakeSite(
            self.folder,
            self.hosts,
            self.away,
            supervision=SUPERVISION,
            sites=self.sites,
            keepers=self.keepers,
            fleet_away=self.fleet_away,
            below=self.below,
            hanging=self.hanging,
        )
        self.rig = ProcessRig(self.site)
        self.addAsyncCleanup(self.end)
        await self.rig.open()
        await self.rig.leader()
        await self.rig.all_serve()

    async def end(self) -> None:
        await self.rig.close()
        groups = {"fleet": (self.fleet_away, [name for names in self.hosts.values() for name in names])}
        for site in set(self.sites.values()):
            groups[site] = (
                self.away,
                [name for host, names in self.hosts.items() if self.sites[host] == site for name in names],
            )
        self.assertEqual(audit(self.folder, self.hosts, groups, LATE).finish(0), [])

    def said(self, host: str) -> str:
        with open(os.path.join(self.folder, f"{host}.agent.log"), encoding="utf-8") as file:
            return file.read()

    def words(self, name: str) -> list[str]:
        host = next(host for host, names in self.hosts.items() if name in names)
        with open(os.path.join(self.folder, host, f"{name}.journal"), encoding="ascii") as file:
            return [line.split()[0] for line in file]

    async def all_granted(self, ident: str, *things: str) -> None:
        async def granted() -> bool:
            parts = (await self.rig.state_of(ident)).orders[0].tasks
            return all(part.state != "waiting" for part in parts if part.target in things)

        await self.rig.until(f"{things} have places", granted)

    async def follower(self, *but: str) -> str:
        leader = await self.rig.leader()
        return next(host for host in self.keepers if host != leader and host not in but)

    async def order(self, *words, **more) -> messages.FleetOrderStatus:
        """Through changes of leader, with the same id."""
        answer: messages.Response | None = None

        async def taken() -> bool:
            nonlocal answer
            answer = await self.rig.order(*words, **more)
            return isinstance(answer, messages.FleetOrderStatus)

        await self.rig.until("the order is taken", taken)
        assert isinstance(answer, messages.FleetOrderStatus)
        return answer


class LeaderStories(RigStory):
    async def test_a_leader_stopped_through_an_election_and_woken_in_a_step_changes_nothing_twice(self):
        leader = await self.rig.leader()
        await self.order("o1", "restart", ["n1a", "n3a", "n4a"])
        self.rig.stop(leader)
        began = time.monotonic()
        other = await self.rig.leader(but=[leader])
        self.assertLess(time.monotonic() - began, 3.0)
        await self.order("o2", "restart", ["n5b"])
        self.rig.go_on(leader)
        self.assertEqual(set((await self.rig.ended("o1")).values()), {"done"})
        self.assertEqual(set((await self.rig.ended("o2")).values()), {"done"})
        self.assertEqual((await self.rig.records())[leader].is_leader, leader == await self.rig.leader())
        self.assertIsNotNone(other)
        await self.rig.all_serve()
        self.assertEqual([self.words(name).count("start") for name in ("n1a", "n3a", "n4a", "n5b")], [2] * 4)

    async def test_all_keepers_killed_at_once_go_on_with_what_was_agreed(self):
        await self.order("o1", "drain", ["n4a"])
        await self.rig.ended("o1")
        await self.order("o2", "drain", ["n4b", "n5a"], lasts=60)  # no room: they wait
        for host in self.keepers:
            await self.rig.kill(host)
        with self.assertRaises(NoLeaderError):
            await self.rig.asker.request_leader(messages.FleetStatusRequest(), 500_000_000)
        for host in self.keepers:
            await self.rig.start(host)
        await self.rig.leader()
        states = {part.target: part.state for part in (await self.rig.state_of("o2")).orders[0].tasks}
        self.assertEqual(states, {"n4b": "waiting", "n5a": "waiting"})
        answer = await self.rig.end_order("o1", True)
        self.assertIsInstance(answer, messages.FleetOrderStatus, answer)
        await self.rig.all_serve(["n4a"])
        await self.all_granted("o2", "n4b")
        await self.rig.end_order("o2", True)
        await self.rig.all_serve()

    async def test_keepers_cut_two_ways_one_way_and_in_a_ring_agree_with_a_majority_alone(self):
        leader = await self.rig.leader()
        others = [host for host in self.hosts if host != leader]
        self.rig.cut([leader], others)
        second = await self.rig.leader(but=[leader])
        await self.order("two", "restart", ["n4a"])
        self.rig.heal()
        others = [host for host in self.hosts if host != second]
        self.rig.cut(others, [second], both=False)  # it is heard, and hears nobody
        third = await self.rig.leader(but=[second])
        await self.order("one", "restart", ["n5a"])
        self.rig.heal()
        ring = list(self.keepers)
        for place, host in enumerate(ring):  # each hears only the one before
            self.rig.cut([ring[(place + 1) % 3]], [host], both=False)
        await asyncio.sleep(1.5)
        self.rig.heal()
        await self.rig.leader()
        await self.order("ring", "restart", ["n3a"])
        for ident in ("two", "one", "ring"):
            self.assertEqual(set((await self.rig.ended(ident)).values()), {"done"})
        self.assertIsNotNone(third)

    async def test_links_that_lose_double_delay_and_alter_cost_time_and_no_promise(self):
        self.rig.spoil(loss=0.1, double=0.1, altered=0.05, mixed=0.02)
        await self.order("o1", "restart", ["n1a", "n2a", "n3a", "n4a"], lasts=60)
        self.rig.heal()
        self.rig.break_links()
        self.rig.spoil(delay=1.5)  # longer than any lease
        await asyncio.sleep(2)
        self.rig.heal()
        self.assertEqual(set((await self.rig.ended("o1", 60)).values()), {"done"})
        await self.rig.all_serve()


class FileStories(RigStory):
    async def test_a_keeper_with_its_file_lost_and_one_with_an_old_file_vote_only_as_new_ones(self):
        victim = await self.follower()
        backup = self.rig.back_up(victim)
        for number in range(4):
            await self.order(f"o{number}", "restart", ["n4a"])
            await self.rig.ended(f"o{number}")
        lives = {
            each.name: each.incarnation
            for each in (await self.rig.records())[await self.rig.leader()].members
        }
        await self.rig.kill(victim)
        self.rig.restore(victim, backup)
        await self.rig.start(victim)

        async def anew() -> bool:
            told = (await self.rig.records())[await self.rig.leader()]
            return any(
                each.name == victim and each.is_voter and each.incarnation != lives[victim] and not each.lag
                for each in told.members
            )

        await self.rig.until("it votes under a new life", anew)
        self.assertIn("knows it to have kept entry", self.said(victim))
        lives[victim] = ""
        await self.rig.kill(victim)
        self.rig.lose(victim, "record.db")
        await self.rig.start(victim)
        await self.rig.until("it votes under a third life", anew)

    async def test_an_agent_without_its_file_repeats_no_generation_and_leaves_out_what_is_out(self):
        await self.order("o1", "drain", ["n4a"])
        await self.rig.ended("o1")
        before = await self.rig.generations()
        await self.rig.kill("h4")
        self.rig.kill_node("n4b")
        self.rig.lose("h4", "agent.db")
        self.rig.cut(["h4"], [host for host in self.hosts if host != "h4"])
        await self.rig.start("h4")
        await asyncio.sleep(1.5)
        self.assertEqual((await self.rig.look())["n4b"].phase, "stopped")  # it may not start anything yet
        self.rig.heal()
        await self.rig.all_serve(["n4b"])
        told = await self.rig.look()
        self.assertEqual((told["n4a"].phase, told["n4a"].goal), ("stopped", "down"))
        self.assertGreater(told["n4a"].generation, before["n4a"])
        self.assertGreater(told["n4b"].generation, before["n4b"])
        answer = await self.rig.order("old", "drain", ["n4b"], generations=before)
        self.assertIsInstance(answer, messages.FleetOrderStatus)
        self.assertEqual(await self.rig.ended("old"), {"n4b": "refused"})

    async def test_a_disk_that_fills_in_the_middle_of_a_write_takes_nothing_and_loses_nothing(self):
        leader = await self.rig.leader()
        self.rig.mark(leader, "full")
        await self.order("o1", "restart", ["n4a"], lasts=30)  # by another leader
        self.assertNotEqual(await self.rig.leader(), leader)
        self.assertIn('"error": "database or disk is full"', self.said(leader))
        self.rig.unmark(leader, "full")
        self.assertEqual(await self.rig.ended("o1"), {"n4a": "done"})

        async def keeps() -> bool:
            told = (await self.rig.records())[leader]
            return told.role in ("following", "leading") and told.committed >= 3

        await self.rig.until("it keeps the record again", keeps)

    async def test_clocks_that_are_set_forward_and_back_change_nothing(self):
        for host, seconds in (("h1", "3600"), ("h2", "-3600"), ("h4", "86400")):
            self.rig.mark(host, "clock", seconds)
        await self.order("o1", "restart", ["n4a", "n1a"])
        self.assertEqual(set((await self.rig.ended("o1")).values()), {"done"})


class DrainStories(RigStory):
    async def test_two_operators_that_drain_all_sites_at_once_take_out_no_more_than_the_bound(self):
        everything = [name for names in self.hosts.values() for name in names]
        generations = await self.rig.generations()
        first, second = await asyncio.gather(
            *(
                self.rig.order(ident, "drain", everything, 4, generations=generations)
                for ident in ("o1", "o2")
            )
        )
        refused = [sum(part.state == "refused" for part in each.tasks) for each in (first, second)]
        self.assertEqual(sorted(refused), [0, len(everything)])
        await self.all_granted("o1" if not refused[0] else "o2")
        states = await self.rig.ended("o1" if not refused[0] else "o2")
        self.assertEqual(sorted(states.values()), ["done"] * 2 + ["expired"] * 8)

    async def test_half_of_a_site_dies_while_a_drain_is_out(self):
        await self.order("o1", "drain", ["n3a"])
        await self.rig.ended("o1")
        for name in ("n4a", "n4b", "n5a"):
            self.rig.script(name, "crash")
            self.rig.kill_node(name)

        async def known() -> bool:
            out = {each.target: each.reasons for each in (await self.rig.state_of()).unavailable}
            return all("does not serve" in out.get(name, ()) for name in ("n4a", "n4b", "n5a"))

        await self.rig.until("the dead are known", known)
        await self.order("o2", "drain", ["n3b", "n5b", "n1a"], lasts=3)
        states = await self.rig.ended("o2")
        self.assertEqual((states["n3b"], states["n5b"]), ("expired", "expired"))
        self.assertEqual(states["n1a"], "expired")  # the fleet's own bound is used up by the dead

    async def test_an_agent_that_vanishes_with_places_keeps_them_counted(self):
        self.rig.script("n4a", "linger")
        await self.order("o1", "drain", ["n4a"])
        await self.all_granted("o1", "n4a")
        await self.rig.kill("h4")
        await self.order("o2", "drain", ["n3a"], lasts=8)
        self.assertEqual(await self.rig.ended("o2"), {"n3a": "expired"})
        await self.rig.start("h4")
        await self.rig.ended("o1")
        self.assertEqual((await self.rig.look())["n4a"].phase, "stopped")

    async def test_a_cancel_in_the_last_moment_brings_back_and_one_that_crosses_the_stop_starts_anew(self):
        self.rig.script("n4a", "linger")
        await self.order("o1", "drain", ["n4a"])

        async def draining() -> bool:
            return (await self.rig.look())["n4a"].phase == "draining"

        await self.rig.until("it drains", draining)
        await asyncio.sleep(0.5)
        answer = await self.rig.end_order("o1", True)
        self.assertIsInstance(answer, messages.FleetOrderStatus)
        await self.rig.all_serve(["n4a"])
        self.assertEqual(self.words("n4a"), ["start", "up", "leave", "stay", "up"])
        self.assertEqual(await self.rig.ended("o1"), {"n4a": "cancelled"})
        await self.order("o2", "drain", ["n3a"])
        await self.rig.ended("o2")
        await self.rig.end_order("o2", True)
        await self.rig.all_serve(["n3a"])
        self.assertEqual(self.words("n3a"), ["start", "up", "leave", "end", "start", "up"])
        await self.order("o3", "drain", ["n3a"])  # the places are free again
        self.assertEqual(await self.rig.ended("o3"), {"n3a": "done"})

    async def test_after_a_halt_nothing_further_leaves(self):
        everything = [name for names in self.hosts.values() for name in names]
        for name in everything:
            self.rig.script(name, "linger")
        await self.order("o1", "restart", everything, lasts=60)
        await asyncio.sleep(0.7)
        await self.rig.end_order("o1", False)

        async def none_granted() -> bool:
            parts = (await self.rig.state_of("o1")).orders[0].tasks
            return all(part.state not in ("granted", "waiting") for part in parts)

        await self.rig.until("the halt is in force", none_granted)
        left = sum(self.words(name).count("leave") for name in everything)
        await self.rig.ended("o1")
        self.assertEqual(sum(self.words(name).count("leave") for name in everything), left)
        self.assertLess(left, 6)
        told = await self.rig.look()  # and nothing of it stands in the way of what comes next
        self.assertEqual([name for name in everything if told[name].order], [])
        await self.order("o2", "restart", everything[:2])
        self.assertEqual(set((await self.rig.ended("o2")).values()), {"done"})

    async def test_with_no_majority_nothing_new_leaves_and_what_serves_goes_on(self):
        keys = [host for host in self.keepers if host != await self.rig.leader()]
        for host in keys:
            await self.rig.kill(host)
        with self.assertRaises(NoLeaderError) as caught:
            await asyncio.sleep(1.5)
            await self.rig.order("o1", "drain", ["n4a"])
        self.assertGreaterEqual(len(caught.exception.why), 3)
        command = [
            sys.executable,
            "-m",
            "oakkeel",
            "drain",
            "n4a",
            "--settings",
            self.site.settings,
            "--as",
            "asha",
            "--yes",
        ]
        ended = await asyncio.to_thread(subprocess.run, command, capture_output=True, text=True)
        self.assertEqual(ended.returncode, 3, ended)
        self.assertIn("nothing new is agreed, what serves goes on", ended.stderr)
        told = await self.rig.look()
        self.assertEqual({told[name].phase for name in ("n4a", "n4b", "n5a", "n5b")}, {"serving"})


class ServiceStories(RigStory):
    fleet_away, away = 4, 4
    hanging = {"n3a": "cat1", "n4a": "cat2"}

    @property
    def below(self) -> str:  # type: ignore[override]
        return (
            '<below><kind name="catalogue" away="1">'
            + "".join(
                f'<service name="{name}" address="127.0.0.1:{port}" host="h5"/>'
                for name, port in self.ports.items()
            )
            + "</kind></below>"
        )

    async def asyncSetUp(self) -> None:
        self.ports = {"cat1": free_port(), "cat2": free_port()}
        self.servers: dict[str, asyncio.Server] = {}
        for name in self.ports:
            await self.serve(name)
        await super().asyncSetUp()

    async def serve(self, name: str) -> None:
        self.servers[name] = await asyncio.start_server(
            lambda reader, writer: writer.close(), "127.0.0.1", self.ports[name]
        )
        self.addCleanup(self.servers[name].close)

    async def down(self, name: str) -> None:
        self.servers[name].close()
        await self.servers[name].wait_closed()

    async def test_a_service_dies_while_one_of_its_kind_is_out(self):
        async def all_up() -> bool:
            return not (await self.rig.state_of()).unavailable

        await self.rig.until("the services are seen", all_up)
        await self.order("o1", "drain", ["cat1"])
        await self.all_granted("o1", "cat1")
        await self.down("cat1")
        self.assertEqual(await self.rig.ended("o1"), {"cat1": "done"})
        await self.order("o2", "drain", ["cat2"], lasts=2)
        self.assertEqual(await self.rig.ended("o2"), {"cat2": "expired"})
        await self.down("cat2")

        async def counted() -> bool:
            state = await self.rig.state_of()
            out = {each.target: each.reasons for each in state.unavailable}
            group = next(each for each in state.budgets if each.name == "kind catalogue")
            return group.unavailable == 2 and out.get("n4a") == ["hangs on cat2"]

        await self.rig.until("the dead one counts, and what hangs on it", counted)
        for name in self.ports:
            await self.serve(name)
        await self.rig.until("both are back, and the place is free", all_up)


class KeeperStories(RigStory):
    async def test_keepers_change_from_three_to_five_while_one_is_cut_off(self):
        away = await self.follower()
        self.rig.cut([away], [host for host in self.hosts if host != away])
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
        ended = await asyncio.to_thread(subprocess.run, command, capture_output=True, text=True)
        self.assertEqual(ended.returncode, 0, ended)
        members = json.loads(ended.stdout)["members"]
        self.assertEqual(sorted(each["name"] for each in members if each["votes"]), sorted(self.hosts))
        self.rig.heal()
        for host in list(self.keepers)[:2]:
            await self.rig.kill(host)
        await self.rig.leader()
        await self.order("o1", "restart", ["n5a"])
        for host in list(self.keepers)[:2]:  # until then their instances count as out
            await self.rig.start(host)
        self.assertEqual(await self.rig.ended("o1"), {"n5a": "done"})

    async def test_messages_of_strangers_other_fleets_and_sizes_change_nothing(self):
        leader = await self.rig.leader()
        address = ("127.0.0.1", self.site.ports[leader])
        before = (await self.rig.records())[leader]
        for data in (frame(b"what"), (0).to_bytes(4, "big"), (100 << 20).to_bytes(4, "big") + bytes(1 << 20)):
            reader, writer = await asyncio.open_connection(*address)
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await reader.readexactly(4)
                writer.write(data)
                await asyncio.wait_for(reader.read(), 5)
            writer.close()
        keys = read_agent_keys(self.rig.fleet)
        letter = Envelope("0" * 16, "h9", "h9.1", RecoveryRequest(1, True, 9, 9, 9))
        stranger = Key("agent:h1", "h1", Role.AGENT, os.urandom(32))
        with self.assertRaisesRegex(OSError, "refuses key"):
            await request_once(address, stranger, messages.PeerEnvelopesRequest([letter]))
        other = next(host for host in self.hosts if host != leader)
        answer = await request_once(
            address, keys[other], messages.PeerEnvelopesRequest([letter])
        )  # its key, another's name
        self.assertIsInstance(answer, messages.PeerEnvelopesResponse)
        answer = await request_once(
            address, keys[other], messages.HeartbeatRequest(Heartbeat(leader, 1, 1, 0, [], [], {}))
        )
        self.assertRegex(answer.why, f"the key of {other} with a poll of {leader}")
        answer = await request_once(
            address, keys[other], messages.FleetOrderRequest("x", "drain", [("n1a", 1)], 1)
        )
        self.assertRegex(answer.why, "is not for that")
        answer = await request_once(address, self.rig.asker.key, messages.PeerEnvelopesRequest([letter]))
        self.assertRegex(answer.why, "is not for that")
        after = (await self.rig.records())[leader]
        self.assertEqual((after.term, after.leader, len(after.members)), (before.term, leader, 3))

    async def test_what_a_new_user_sees(self):
        leader = await self.rig.leader()

        def run(*words: str) -> subprocess.CompletedProcess:
            return subprocess.run(
                [sys.executable, "-m", "oakkeel", *words, "--settings", self.site.settings, "--as", "asha"],
                capture_output=True,
                text=True,
            )

        shown = await asyncio.to_thread(run, "keepers")
        self.assertEqual(shown.returncode, 0, shown)
        self.assertIn("leading", next(line for line in shown.stdout.splitlines() if line.startswith(leader)))
        drained = await asyncio.to_thread(run, "drain", "n4a", "--id", "d1", "--whole")
        self.assertEqual(drained.returncode, 0, drained)
        shown = await asyncio.to_thread(run, "places", "--output", "json")
        told = json.loads(shown.stdout)
        self.assertEqual([each["thing"] for each in told["out"]], ["n4a"])
        halted = await asyncio.to_thread(run, "drain", "--halt", "d1")
        self.assertEqual(halted.returncode, 0, halted)
        back = await asyncio.to_thread(run, "cancel", "d1")
        self.assertEqual(back.returncode, 0, back)
        await self.rig.all_serve(["n4a"])
        again = await asyncio.to_thread(run, "cancel", "d9")
        self.assertEqual((again.returncode, again.stderr), (1, "oakkeel: no such order\n"))


class AuditStories(unittest.TestCase):
    """What agents and nodes wrote down, with a fault planted in it, told to the auditor."""

    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        os.makedirs(os.path.join(self.folder, "h1"))
        self.hosts = {"h1": ["n1", "n2"]}

    def judge(self, lines: list[dict], **journals: str) -> list[str]:
        with open(os.path.join(self.folder, "h1.agent.log"), "w", encoding="utf-8") as file:
            file.writelines(json.dumps(line) + "\n" for line in lines)
            file.write('{"event": "cut short by a ki')
        for name, text in journals.items():
            with open(os.path.join(self.folder, "h1", f"{name}.journal"), "w", encoding="ascii") as file:
                file.write(text)
        return audit(self.folder, self.hosts, {"site": (1, ["n1", "n2"])}, LATE).finish(0)

    @staticmethod
    def left(at: int, name: str, fence: int) -> list[dict]:
        return [
            {"mono": at, "event": "permit_granted", "target": name, "fence": fence},
            {"mono": at + 1, "event": "drain_requested", "target": name, "fence": fence, "order": "o"},
        ]

    def test_each_planted_fault_is_caught_and_a_good_run_is_not(self):
        up = "start 1 9 1\nup 1 9 2\n"
        good = [*self.left(10, "n1", 3), *self.left(30, "n2", 5)]
        self.assertEqual(
            self.judge(good, n1=up + "leave 1 9 12\nend 1 9 13\nstart 2 9 14\nup 2 9 20\n", n2=up), []
        )
        for planted, lines, journal in (
            (
                "promise 1",
                [
                    {"mono": 1, "event": "leader_elected", "term": 4},
                    {"mono": 2, "event": "leader_elected", "term": 4},
                ],
                up,
            ),
            ("promise 4", good, up),  # the first is not back
            ("promise 5", [self.left(10, "n1", 3)[1]], up),  # no grant
            ("promise 5", [*self.left(10, "n1", 3), *self.left(30, "n1", 2)], up),
            ("promise 6", [], up + "end 1 9 3\nstart 1 9 4\n"),
        ):
            if planted == "promise 1":
                lines[1]["host"] = "h2"
            with self.subTest(planted):
                self.assertRegex("\n".join(self.judge(lines, n1=journal, n2=up)), planted)


class LoadStories(unittest.IsolatedAsyncioTestCase):
    async def test_drains_and_cancels_in_jumps_of_traffic_lose_nothing_and_run_nothing_after_the_grace(self):
        figures = await drain.measure(6, 100.0, 3)
        self.assertEqual((figures["lost"], figures["doubled"], figures["after_grace"]), (0, 0, 0), figures)
        # A driver that stood still sends all at once what was due meanwhile, and such a crowd may be denied.
        counts = figures["counts"]
        denied = counts.get("full", 0) if figures["sent_late"] > 0.1 else 0
        self.assertEqual(counts["ok"] + denied, counts["sent"], figures["sent_late"])
        self.assertGreater(counts["ok"], 100)


class RawStories(unittest.IsolatedAsyncioTestCase):
    async def test_a_faulty_link_loses_whole_messages_and_passes_the_others_whole(self):
        from oakkeel.fakes.faulty_link import FaultyLink, LinkDirection

        async def echo(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError):
                while True:
                    head = await reader.readexactly(4)
                    writer.write(head + await reader.readexactly(int.from_bytes(head, "big")))

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        there, back = LinkDirection(), LinkDirection()
        link = FaultyLink(server.sockets[0].getsockname(), there, back, 1)
        reader, writer = await asyncio.open_connection("127.0.0.1", await link.open())
        writer.write(frame(b"one"))
        self.assertEqual(await reader.readexactly(7), frame(b"one"))
        there.cut = True
        writer.write(frame(b"lost"))
        await asyncio.sleep(0.1)
        there.cut, there.double = False, 1.0
        writer.write(frame(b"two"))
        self.assertEqual(await asyncio.wait_for(reader.readexactly(14), 5), frame(b"two") * 2)
        self.assertEqual(link.lost, 1)
        writer.close()
        await link.close()
        server.close()


if __name__ == "__main__":
    unittest.main()
