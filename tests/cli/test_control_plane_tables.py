"""Tables of the control plane, as `oakkeel places` prints them."""

import unittest

from oakkeel.agent import messages
from oakkeel.disruption.state import TIMEOUT_OPERATOR
from oakkeel.rendering.control_plane import order_table, permit_tables


def make_order(halted: str, cancelled: str = "") -> messages.FleetOrderStatus:
    return messages.FleetOrderStatus(
        order_id="o1",
        operator="ops",
        verb="drain",
        unix_time=0,
        atomic=False,
        halted=halted,
        cancelled=cancelled,
        tasks=[],
    )


class OrderRemarkTest(unittest.TestCase):
    def remark(self, order: messages.FleetOrderStatus) -> str:
        orders = permit_tables([], [], [order])[-1]
        return next(iter(orders.columns[-1].cells))

    def test_list_and_title_of_an_order_agree_on_how_it_was_ended(self):
        for order, remark in (
            (make_order(TIMEOUT_OPERATOR), "timed out"),
            (make_order("ann"), "halted by ann"),
            (make_order("ann", cancelled="bob"), "cancelled by bob"),
        ):
            with self.subTest(remark=remark):
                self.assertEqual(self.remark(order), remark)
                self.assertEqual(order_table(order).title, f"drain, order o1, {remark}")
