"""Tests of the tables of the control plane, which `oakkeel places` prints."""

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
    def remark_in_order_list(self, order: messages.FleetOrderStatus) -> str:
        orders_table = permit_tables([], [], [order])[-1]
        return next(iter(orders_table.columns[-1].cells))

    def test_order_list_and_order_title_have_the_same_remark(self):
        for order, remark in (
            (make_order(TIMEOUT_OPERATOR), "timed out"),
            (make_order("ann"), "halted by ann"),
            (make_order("ann", cancelled="bob"), "cancelled by bob"),
        ):
            with self.subTest(remark=remark):
                self.assertEqual(self.remark_in_order_list(order), remark)
                self.assertEqual(order_table(order).title, f"drain, order o1, {remark}")
