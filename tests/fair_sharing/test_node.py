"""Fair sharing of a node process that is reached over its sockets."""

import json
import os
import signal
import socket
import tempfile
import time
from unittest import mock

from oakkeel.units import SECOND
from tests.support.node_process import NodeProcessTest


class FairSharingNodeTest(NodeProcessTest):
    def setUp(self) -> None:
        super().setUp()
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.settings_path = os.path.join(self.folder, "n3.told")
        self.write_settings()
        self.enterContext(
            mock.patch.dict(
                os.environ,
                OAKKEEL_TOLD=self.settings_path,
                OAKKEEL_GENERATION="1",
                OAKKEEL_CONTROL=os.path.join(self.folder, "n3.sock"),
            )
        )

    def write_settings(self, by=("client",), **weights: float) -> None:
        with open(self.settings_path, "w") as file:
            json.dump(
                {
                    "fair": {
                        "by": list(by),
                        "weights": weights,
                        "places": 64,
                        "promises": 64,
                        "half": 4 * SECOND,
                        "snapshot": os.path.join(self.folder, "n3.shares"),
                    }
                },
                file,
            )

    def fetch_flows(self) -> dict:
        with socket.socket(socket.AF_UNIX) as connection:
            connection.connect(os.path.join(self.folder, "n3.sock"))
            connection.settimeout(20)
            connection.sendall(b'{"type":"clients","tag":1}\n')
            with connection.makefile("rb") as stream:
                return json.loads(stream.readline())

    def serve_request(self, dispatcher, client: str) -> None:
        dispatcher.call("card", fields=f",client={client}")
        self.engine.send_done(self.engine.next_command()[1])
        self.assertEqual(dispatcher.next_answer()[1], b"ok")

    def test_reports_flows_over_the_control_link_and_restores_them_after_a_restart(self):
        self.start_node()
        dispatcher = self.dispatcher()
        for client in ("a", "a", "a", "b"):
            self.serve_request(dispatcher, client)
        report = self.fetch_flows()
        self.assertEqual(
            [(flow["name"], round(flow["asks"], 1)) for flow in report["clients"]],
            [("a", 0.8), ("b", 0.2)] if report["clients"][0]["asks"] > 0.76 else [("a", 0.7), ("b", 0.3)],
        )
        self.process.send_signal(signal.SIGTERM)
        dispatcher.close()
        self.assertEqual(self.process.wait(20), 0)
        self.process.stderr.close()
        self.engine.notice_number = 0
        self.start_node()
        self.assertEqual([flow["name"] for flow in self.fetch_flows()["clients"]], ["a", "b"])

    def test_quarantines_a_damaged_snapshot_and_serves_requests(self):
        with open(os.path.join(self.folder, "n3.shares"), "wb") as file:
            file.write(b"oakkeel snapshot 1\n" + b"x" * 60)
        self.launch(self.configuration())
        self.assertIn("n3.shares.bad", self.wait_for_log("fair_sharing_snapshot_quarantined"))
        self.port = int(self.wait_for_log("listening").rsplit(":", 1)[1])
        self.engine.accept_link()
        self.wait_for_log("engine_ready")
        self.serve_request(self.dispatcher(), "a")

    def test_reloads_weights_on_sighup_but_not_flow_fields(self):
        self.start_node()
        self.write_settings(a=4.0)
        self.reload(self.configuration())
        self.assertIn("weights=1", self.wait_for_log("flow_weights_reloaded"))
        self.write_settings(by=("tenant",))
        time.sleep(1.1)  # the log writes a repeated line at most once a second
        self.reload(self.configuration())
        self.assertIn("new_levels=tenant", self.wait_for_log("flow_key_change_ignored"))
        self.serve_request(self.dispatcher(), "a")

    def test_reports_unusable_settings_in_one_line(self):
        for content in ("", "{}x", '{"fair": {"by": []}}', '{"fair": {"by": ["a"], "weights": {"b": -1}}}'):
            with open(self.settings_path, "w") as file:
                file.write(content)
            process = self.launch(self.configuration())
            _, stderr = process.communicate(timeout=20)
            self.assertEqual((process.returncode, stderr.count("\n")), (2, 1), stderr)
