"""The formats in which the limits of a node are given."""

import unittest

from oakkeel.node_limits import Settings, flatten_json, read_limits
from tests.support.node_process import NODE_SETTINGS


class NodeLimitsFormatTest(unittest.TestCase):
    def test_reads_the_same_limits_from_nested_json_and_text(self):
        values = flatten_json(NODE_SETTINGS)
        text = "\n".join(f"{path}={value}" for path, value in values.items())
        self.assertEqual(values["classes.count"], "4")
        self.assertEqual(
            str(read_limits(Settings(values)).request_classes[0].latency_objective), "8000000000"
        )
        self.assertEqual(Settings.from_text(text).values, values)
