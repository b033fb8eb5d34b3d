"""Disruption permits: the state machine, the allocator and the holder."""

import unittest
from types import SimpleNamespace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from oakkeel.agent.instances import Instance, Phase
from oakkeel.agent.leader_locator import LeaderLocator
from oakkeel.agent.orders import OrderRegistry, TaskState, Verb
from oakkeel.agent.supervisor import SupervisionTimeouts, Supervisor
from oakkeel.disruption import commands
from oakkeel.disruption.allocator import PermitAllocator, PermitTimeouts
from oakkeel.disruption.holder import PermitHolder
from oakkeel.disruption.lease_holder import LeaseHolder
from oakkeel.disruption.messages import GrantedPermit, HeartbeatResponse
from oakkeel.disruption.state import Rejection
from oakkeel.disruption.state_machine import PermitStateMachine
from oakkeel.disruption.topology import BudgetGroup, Topology
from oakkeel.emulator.faults import MS, SECOND

LAYOUT = Topology(
    {"h1": ("a", "b", "cat1"), "h2": ("c", "d", "cat2")},
    (
        BudgetGroup("fleet", 2, ("a", "b", "c", "d")),
        BudgetGroup("site s", 1, ("a", "b")),
        BudgetGroup("kind cat", 1, ("cat1", "cat2")),
    ),
    {"cat1": ("a",), "cat2": ("c", "d")},
)


class PlaceStories(unittest.TestCase):
    """A ledger with the leader's part, and agents that say what they are told to."""

    def setUp(self) -> None:
        self.ledger = PermitStateMachine(
            lambda *told: self.allocator.applied(self.now, *told) if self.allocator else None
        )
        self.allocator: PermitAllocator | None = None
        self.now, self.index = SECOND, 0
        self.permit_holder = {name: PermitHolder(name, things, 1) for name, things in LAYOUT.hosts.items()}
        self.up = dict.fromkeys("abcd", True) | {"cat1": True, "cat2": True}
        self.put(commands.SetTopology(LAYOUT))
        self.lead()

    def put(self, *wanted: commands.Command) -> object:
        result = None
        for command in wanted:
            self.index += 1
            result = self.ledger.apply(self.index, commands.encode(command))
        return result

    def lead(self) -> None:
        self.allocator = PermitAllocator(self.now, self.ledger, PermitTimeouts(), self.index + 1)

    def turn(self, *hosts: str) -> None:
        """Agents say how they are, and the leader does what follows."""
        for host in hosts or LAYOUT.hosts:
            permit_holder = self.permit_holder[host]
            self.put(
                *self.allocator.receive_heartbeat(
                    self.now, permit_holder.heartbeat(self.now, self.up, [], {})
                )
            )
            while wanted := self.allocator.tick(self.now):
                self.put(*wanted)
            permit_holder.receive_response(self.now, self.now, self.allocator.respond(self.now, "e", host))

    def order(self, ident: str, *things: str, verb: str = "drain", whole: bool = False) -> object:
        return self.put(
            commands.SubmitOrder(ident, "asha", verb, 0, 60 * SECOND, whole, [(thing, 1) for thing in things])
        )

    def states(self, ident: str) -> dict[str, str]:
        return {thing: part.state for thing, part in self.ledger.state.orders[ident].tasks.items()}

    def begin(self, host: str, thing: str, ident: str) -> bool:
        if may := self.permit_holder[host].may_start(self.now, thing, ident):
            self.permit_holder[host].start(self.now, thing)
            self.up[thing] = False
        return may

    def test_nothing_leaves_before_all_of_the_site_were_heard(self):
        self.order("o1", "a")
        self.turn("h2")
        self.assertEqual(self.states("o1"), {"a": "waiting"})
        self.turn("h1")
        self.assertEqual(self.states("o1"), {"a": "granted"})

    def test_the_bound_holds_over_hosts_and_a_place_given_back_goes_to_the_next(self):
        self.turn()
        self.order("o1", "a", "b", "c", "d", verb="restart")
        self.turn()
        self.turn()
        self.assertEqual(sorted(self.states("o1").values()), ["granted", "granted", "waiting", "waiting"])
        self.assertTrue(self.begin("h1", "a", "o1"))
        self.assertFalse(self.begin("h1", "b", "o1"))
        self.turn()
        self.assertEqual(self.states("o1")["a"], "out")
        self.up["a"] = True
        self.permit_holder["h1"].mark_restored("a")
        self.turn()
        self.turn()
        self.assertEqual(self.states("o1"), {"a": "done", "b": "granted", "c": "granted", "d": "waiting"})

    def test_all_or_nothing_waits_for_room_for_all_and_ends_whole(self):
        self.turn()
        self.order("o1", "a")
        self.turn()
        self.order("o2", "c", "d", whole=True)
        self.turn()
        self.assertEqual(self.states("o2"), {"c": "waiting", "d": "waiting"})
        self.begin("h1", "a", "o1")
        self.turn()
        self.put(commands.CancelOrder("o1", "ravi"))
        self.up["a"] = True
        self.permit_holder["h1"].mark_restored("a")
        self.turn()
        self.turn()
        self.assertEqual(self.states("o2"), {"c": "granted", "d": "granted"})
        self.assertIsInstance(self.order("o3", "a", "b", "nobody"), Rejection)
        self.assertEqual(self.ledger.state.orders["o2"].atomic, True)

    def test_a_service_below_takes_out_what_hangs_on_it_and_counts_when_it_dies(self):
        self.turn()
        self.order("o1", "cat2")
        self.turn()
        self.assertEqual(self.states("o1"), {"cat2": "granted"})  # c and d with it: the fleet is full
        self.order("o2", "a")
        self.turn()
        self.assertEqual(self.states("o2"), {"a": "waiting"})
        self.up["cat1"] = False  # dies while one of its kind is out
        self.order("o3", "cat1")
        self.turn()
        self.assertEqual((self.states("o2"), self.states("o3")), ({"a": "waiting"}, {"cat1": "waiting"}))
        self.assertIn("hangs on cat1", self.allocator.unavailable.reasons["a"])

    def test_a_place_lapses_only_after_nobody_can_begin_and_counts_until_its_agent_was_heard(self):
        self.turn()
        self.order("o1", "a")
        self.order("o2", "c", "d")
        self.turn()
        terms, granted = self.allocator.timeouts, self.now
        self.now = granted + terms.validity - MS
        self.assertTrue(self.permit_holder["h1"].may_start(self.now, "a", "o1"))
        self.now = granted + terms.validity
        self.assertFalse(self.permit_holder["h1"].may_start(self.now, "a", "o1"))
        self.now = granted + terms.expiry + MS
        for _ in range(3):
            self.turn("h2")
        fence = self.ledger.state.permits["a"].fencing_token
        self.assertTrue(self.ledger.state.permits["a"].expired_index)
        late = self.permit_holder["h1"].heartbeat(
            self.now, self.up, [], {}
        )  # said before it knew of the lapse
        self.put(*self.allocator.receive_heartbeat(self.now, late))
        self.assertEqual(self.ledger.state.permits["a"].fencing_token, fence)
        self.turn("h1")
        self.assertFalse(self.permit_holder["h1"].may_start(self.now, "a", "o1"))
        self.turn("h1")
        self.assertGreater(self.ledger.state.permits["a"].fencing_token, fence)  # it is granted anew

    def test_one_who_began_and_vanished_keeps_the_place_that_lapsed_meanwhile(self):
        self.turn()
        self.order("o1", "a")
        self.turn()
        self.begin("h1", "a", "o1")
        self.now += self.allocator.timeouts.expiry + MS
        self.turn("h2")
        self.order("o2", "b")
        self.up["b"] = False  # it is dead: room for it as such, and none for a second place
        self.turn()
        self.turn()
        self.assertEqual((self.states("o1"), self.states("o2")), ({"a": "out"}, {"b": "waiting"}))

    def test_a_new_leader_lets_a_place_of_the_old_one_stand_its_time_anew(self):
        self.turn()
        self.order("o1", "a")
        self.turn()
        self.now += 2 * SECOND
        self.lead()
        self.now += 2 * SECOND
        self.turn("h2")
        self.assertIn("a", self.ledger.state.permits)

    def test_a_host_that_falls_silent_counts_whole(self):
        self.turn()
        self.now += 3 * SECOND
        self.order("o1", "a")
        self.turn("h1")
        self.assertEqual(self.states("o1"), {"a": "waiting"})  # c and d may be anything
        self.turn("h2")
        self.assertEqual(self.states("o1"), {"a": "granted"})

    def test_what_an_agent_said_before_it_was_started_anew_is_not_believed_any_more(self):
        self.turn()
        late = self.permit_holder["h1"].heartbeat(self.now, self.up, [], {})
        self.permit_holder["h1"] = PermitHolder("h1", LAYOUT.hosts["h1"], 2)
        self.up["a"] = False
        self.turn("h1")
        self.turn("h1")  # it has heard the leader: by that it is known to be the later one
        self.allocator.receive_heartbeat(self.now, late)
        self.assertIn("does not serve", self.allocator.unavailable.reasons["a"])

    def test_a_late_word_of_an_agent_that_was_killed_does_not_make_the_next_one_unheard(self):
        """Drawn schedule 1020500: after a change of leader it came behind the next one's first word, which
        was then taken for the earlier life, and that agent was heard no more."""
        self.turn()
        late = self.permit_holder["h1"].heartbeat(self.now, self.up, [], {})
        self.permit_holder["h1"] = PermitHolder("h1", LAYOUT.hosts["h1"], 2)
        self.index += 1
        self.lead()
        self.up["a"] = False
        self.turn("h1")
        self.allocator.receive_heartbeat(self.now, late)
        self.turn("h1")
        self.now += SECOND
        self.turn("h1")
        self.assertEqual(self.allocator.sessions["h1"].incarnation, 2)
        self.assertEqual(self.allocator.sessions["h1"].last_heartbeat_at, self.now)

    def test_what_an_order_took_out_stays_out_where_the_next_one_on_it_is_not_used(self):
        """Drawn schedule 1016590: a restart of what was stopped was cancelled unused, and nothing knew of the
        stop any more."""
        self.turn()
        self.order("o1", "a", verb="stop")
        self.turn()
        self.begin("h1", "a", "o1")
        self.turn()
        self.put(commands.FinishTask("o1", "a", "done", ""))
        self.order("o2", "a", verb="restart")
        self.turn()
        self.assertEqual(self.ledger.state.permits["a"].order_id, "o2")
        self.put(commands.HaltOrder("o2", "ravi"))
        self.turn()
        self.turn()
        place = self.ledger.state.permits["a"]
        self.assertEqual((place.order_id, place.started), ("o1", True))
        self.up["a"] = True
        self.turn()
        self.permit_holder["h1"].mark_restored("a")
        self.turn()
        self.assertNotIn("a", self.ledger.state.permits)

    def test_with_more_out_than_may_be_a_place_on_one_of_them_holds_only_while_it_is_down(self):
        self.up["a"] = self.up["b"] = False  # the bound of their site is 1
        self.turn()
        self.order("o1", "a", verb="restart")
        self.turn()
        permit_holder = self.permit_holder["h1"]
        self.assertTrue(self.ledger.state.permits["a"].only_while_down)
        self.assertFalse(permit_holder.may_start(self.now, "a", "o1", True))
        self.assertTrue(permit_holder.may_start(self.now, "a", "o1", False))

    def test_one_that_could_not_be_told_in_time_is_not_told_to_leave_at_all(self):
        """Drawn schedule 1047676: a place was begun, the disk was full for eight seconds, and what had died
        meanwhile was not counted when it was used."""
        for late, state in ((False, "serving"), (True, "serving"), (True, "draining")):
            self.setUp()
            self.turn()
            self.order("o1", "a")
            self.turn()
            permit_holder = self.permit_holder["h1"]
            instance = Instance(
                "a",
                "s",
                phase=Phase.SERVING,
                generation=1,
                process_generation=1,
                spawned=True,
                generation_limit=9,
            )
            supervision = Supervisor([instance], SupervisionTimeouts(silent=SECOND * 60), {}, 1, lambda: 0)
            orders = OrderRegistry(supervision, lambda: 0, permit_holder=permit_holder)
            orders.submit(self.now, "o1", "asha", Verb.DRAIN, (("a", 1),), 60 * SECOND)
            orders.advance(self.now)
            [step] = supervision.tick(self.now)
            self.assertTrue(permit_holder.permits["a"].started)
            instance.drain_sent_at = 0  # it was put off, as it could not be kept
            instance.report = SimpleNamespace(state=state)
            self.now += 4 * SECOND * late
            steps = orders.permitted_steps(self.now, supervision.tick(self.now))
            if late and state == "serving":
                self.assertEqual((steps, instance.phase, instance.task), ([], Phase.SERVING, None))
                self.assertEqual(orders.orders["o1"].tasks[0].state, TaskState.CANCELLED)
            else:
                self.assertEqual((steps, instance.task.drain_sent), ([step], True))

    def test_after_a_halt_a_granted_place_is_given_back_and_what_began_goes_on(self):
        self.turn()
        self.order("o1", "a", "c", "d")
        self.turn()
        self.begin("h1", "a", "o1")
        self.turn()
        self.put(commands.HaltOrder("o1", "ravi"))
        self.turn()
        self.turn()
        self.assertEqual(self.states("o1"), {"a": "out", "c": "halted", "d": "halted"})
        self.assertFalse(self.begin("h2", "c", "o1"))
        self.assertEqual(set(self.ledger.state.permits), {"a"})

    def test_an_answer_that_is_older_or_of_another_record_or_an_older_fence_is_not_obeyed(self):
        permit_holder = PermitHolder("h1", ("a",), 1)
        answer = HeartbeatResponse("e", 7, [GrantedPermit("a", "o1", 6, False, 3 * SECOND)], [], {})
        self.assertTrue(permit_holder.receive_response(SECOND, SECOND, answer))
        self.assertFalse(
            permit_holder.receive_response(SECOND, SECOND, HeartbeatResponse("e", 5, [], [], {}))
        )
        self.assertFalse(
            permit_holder.receive_response(SECOND, SECOND, HeartbeatResponse("other", 9, [], [], {}))
        )
        permit_holder.start(SECOND, "a")
        again = PermitHolder("h1", ("a",), 2)
        again.restore("e", [("a", 6, "o1", True)], {})
        self.assertTrue(again.may_start(9 * SECOND, "a", "o1"))  # begun is begun
        again.receive_response(
            SECOND, SECOND, HeartbeatResponse("e", 9, [GrantedPermit("a", "o0", 4, False, SECOND)], [], {})
        )
        self.assertFalse(again.may_start(SECOND, "a", "o0"))

    def test_generations_only_rise(self):
        self.put(commands.ReserveGenerations("h1", {"a": 64}))
        self.put(commands.ReserveGenerations("h1", {"a": 3}))
        self.assertEqual(self.ledger.state.generations["a"], 64)

    def test_a_lease_has_one_holder_at_a_time_and_the_next_a_higher_fence(self):
        first, second = LeaseHolder("release", "h1", SECOND), LeaseHolder("release", "h2", SECOND)
        asked = self.now
        self.assertTrue(first.receive_result(asked, self.put(first.acquire_command())))
        fence = first.fencing_token
        self.assertFalse(second.receive_result(self.now, self.put(second.acquire_command())))
        self.now += SECOND // 2
        self.assertTrue(
            first.receive_result(self.now, self.put(first.acquire_command()))
        )  # renewed: the fence stays
        self.assertEqual((first.fencing_token, first.expires_at), (fence, asked + SECOND // 2 + SECOND))
        self.lead()  # a new leader does not know when that was
        self.now += SECOND
        self.assertFalse(first.is_held(self.now))
        self.put(*self.allocator.tick(self.now))
        self.assertFalse(second.receive_result(self.now, self.put(second.acquire_command())))
        self.now += self.allocator.timeouts.upper_bound(SECOND) + MS
        self.put(*self.allocator.tick(self.now))
        self.assertTrue(second.receive_result(self.now, self.put(second.acquire_command())))
        self.assertGreater(second.fencing_token, fence)
        self.assertIsInstance(self.put(commands.ReleaseLease("release", fence)), Rejection)
        self.assertFalse(first.receive_result(self.now, Rejection("h2 holds it")))

    def test_an_agent_asks_whom_it_was_told_leads_or_each_keeper_in_turn(self):
        whom = LeaderLocator(["h1", "h2", "h3"], ["h1", "h2", "h3", "h4"])
        asked = []
        for leader in ("", "", "h4", "h9", "h4"):
            whom.redirect(leader)
            asked.append(whom.current)
        self.assertEqual(asked, ["h2", "h3", "h4", "h1", "h4"])
        whom.set_voters(["h9"])
        whom.redirect("")
        self.assertIn(whom.current, ("h1", "h2", "h3"))

    def test_a_command_of_a_later_version_is_the_same_no_everywhere(self):
        self.assertIsInstance(self.ledger.apply(99, b"\x91\xa5other"), Rejection)
        again = PermitStateMachine()
        again.restore(self.ledger.snapshot())
        self.assertEqual(again.snapshot(), self.ledger.snapshot())


class PlacesMachine(RuleBasedStateMachine):
    """The real ledger against sets: whatever is put to it in whatever order, the bounds hold."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger, self.index, self.fences = PermitStateMachine(), 0, {}
        self.put(commands.SetTopology(LAYOUT))

    def put(self, command) -> object:
        self.index += 1
        return self.ledger.apply(self.index, commands.encode(command))

    things = st.sampled_from(["a", "b", "c", "d", "cat1", "cat2"])
    idents = st.sampled_from(["o1", "o2", "o3"])

    @rule(
        ident=idents,
        named=st.sets(things, min_size=1),
        verb=st.sampled_from(["drain", "stop", "restart"]),
        whole=st.booleans(),
    )
    def order(self, ident, named, verb, whole):
        self.put(
            commands.SubmitOrder(ident, "asha", verb, 0, SECOND, whole, [(each, 1) for each in sorted(named)])
        )

    @rule(ident=idents, named=st.sets(things, min_size=1))
    def grant(self, ident, named):
        result = self.put(commands.GrantPermits(ident, sorted(named)))
        for thing in named if isinstance(result, int) else ():
            assert result > self.fences.get(thing, 0)
            self.fences[thing] = result

    @rule(
        thing=things,
        kind=st.sampled_from([commands.StartPermit, commands.ReleasePermit, commands.ExpirePermit]),
    )
    def move(self, thing, kind):
        self.put(kind(thing, self.fences.get(thing, 0)))

    @rule(ident=idents, thing=things, how=st.sampled_from(["done", "failed", "refused"]))
    def ended(self, ident, thing, how):
        self.put(commands.FinishTask(ident, thing, how, ""))

    @rule(
        ident=idents, kind=st.sampled_from([commands.HaltOrder, commands.CancelOrder, commands.ExpireOrder])
    )
    def end(self, ident, kind):
        self.put(kind(ident) if kind is commands.ExpireOrder else kind(ident, "ravi"))

    @rule()
    def fold(self):
        self.ledger.restore(self.ledger.snapshot())

    @invariant()
    def bounds_hold(self):
        out = set(self.ledger.state.permits)
        out |= {each for thing in out for each in LAYOUT.dependents.get(thing, ())}
        for group in LAYOUT.groups:
            assert len(out & set(group.targets)) <= group.max_unavailable, (group, out)


PlacesMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


PlacesCase = PlacesMachine.TestCase
