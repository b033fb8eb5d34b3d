"""Orders over many agents, followed to their end."""

import unittest

from oakkeel.agent import messages
from oakkeel.fleet.fan_out import MS
from oakkeel.fleet.order_tracking import OrderTracker, Result
from oakkeel.fleet.view import SECOND, FleetView
from oakkeel.settings.types import ClientSettings as HowToAsk
from oakkeel.settings.types import Fleet, HostSettings, InstanceSettings


def fleet_of(hosts: int = 2, each: int = 3) -> Fleet:
    return Fleet(
        "f",
        "f.xml",
        (),
        {},
        HowToAsk(),
        {"woodbrook": 2},
        tuple(
            HostSettings(
                f"h{host}",
                "woodbrook",
                ("127.0.0.1", 1),
                "",
                1,
                tuple(InstanceSettings(f"n{host}{number}", "", "", "console") for number in range(each)),
            )
            for host in range(hosts)
        ),
    )


def told(host: str, phase: str = "serving", names=(0, 1, 2), unix: int = 0) -> messages.HostStatus:
    return messages.HostStatus(
        host,
        "woodbrook",
        1,
        unix,
        1,
        0,
        [],
        [
            messages.InstanceStatus(
                f"n{host[1:]}{number}", phase, 5, "up", 4, 0, "", 77, 200 * MS, None, None, 0, False, 0, ""
            )
            for number in names
        ],
    )


class FollowingStories(unittest.TestCase):
    def following(self) -> OrderTracker:
        view = FleetView(fleet_of(3, 1))
        view.told("h0", SECOND, told("h0", names=(0,)))
        view.told("h1", SECOND, told("h1", names=(0,)))
        return OrderTracker("o1", "stop", view.rows(SECOND), 60 * SECOND, False)

    def order(self, name: str, state: str, ident: str = "o1") -> messages.OrderStatus:
        return messages.OrderStatus(ident, "asha", "stop", 0, [messages.TaskStatus(name, state, 0, "")])

    def test_each_instance_has_one_end_and_what_nobody_told_of_is_not_ordered(self):
        following = self.following()
        self.assertEqual(
            {host: wish.instances for host, wish in following.wishes().items()},
            {"h0": [("n00", 4)], "h1": [("n10", 4)]},
        )
        following.answered("h0", self.order("n00", "waiting"))
        following.answered("h1", messages.ErrorResponse("not taken, as it can't be kept"))
        self.assertEqual((following.over, following.to_ask()), (False, ["h0"]))
        following.answered("h0", messages.OrderList([self.order("n00", "done")]))
        self.assertEqual(
            {part.instance: part.state for part in following.parts.values()},
            {"n00": "done", "n10": "refused", "n20": "not ordered"},
        )
        self.assertIs(following.result(True), Result.SOME_SILENT)

    def test_an_answer_that_comes_late_takes_nothing_back(self):
        following = self.following()
        following.answered("h0", self.order("n00", "done"))
        following.answered("h0", self.order("n00", "acting"))
        following.answered("h0", self.order("n00", "failed", ident="o0"))
        following.answered("h1", self.order("n00", "failed"))
        self.assertEqual(following.parts["n00"].state, "done")

    def test_no_answer_is_not_known_until_the_agent_tells_and_never_done(self):
        following = self.following()
        following.answered("h0", self.order("n00", "done"))
        following.unanswered("h1", "did not answer")
        self.assertEqual(
            (following.parts["n10"].state, following.result(True)), ("not known", Result.SOME_SILENT)
        )
        self.assertEqual(following.to_ask(), ["h1"])
        following.answered("h1", messages.OrderList([self.order("n10", "failed")]))
        del following.parts["n20"]
        self.assertIs(following.result(True), Result.SOME_FAILED)

    def test_one_who_does_not_wait_takes_open_for_good(self):
        following = self.following()
        del following.parts["n20"]
        following.answered("h0", self.order("n00", "acting"))
        following.answered("h1", self.order("n10", "waiting"))
        self.assertEqual((following.result(False), following.result(True)), (Result.DONE, Result.SOME_FAILED))
