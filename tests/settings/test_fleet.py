"""Tests of reading the settings of a fleet, and of the error line for each mistake in them."""

import os
import secrets
import tempfile
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from oakkeel.settings.fleet import read_fleet, split_budget
from oakkeel.settings.keys import read_keys, read_operator_key, write_key
from oakkeel.settings.types import Fleet, SettingsError
from oakkeel.units import MS, SECOND

VALID_XML = """<fleet xmlns="urn:oakkeel:fleet:1" name="guild">
  <operators><operator name="asha" role="act"><key id="asha-1" file="asha.key"/></operator></operators>
  <supervision silent="1500ms" restarts="3" restart-stuck="false"/>
  <site name="woodbrook" away="3">
    <host name="wb1" agent="127.0.0.1:7401" state="wb1">
      <instance name="n1" config="n1.json"/><instance name="n2" config="n2.json"/>
    </host>
    <host name="wb2" agent="127.0.0.1:7402" state="wb2">
      <instance name="n3" config="n3.json" log="json"/>
    </host>
  </site>
</fleet>
"""


class FleetSettingsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = os.path.join(self.folder, "fleet.xml")

    def read(self, text: str) -> Fleet:
        with open(self.path, "w") as file:
            file.write(text)
        return read_fleet(self.path)

    def test_reads_given_values_and_built_in_defaults(self):
        fleet = self.read(VALID_XML)
        self.assertEqual(fleet.supervision, {"silent": 1500 * MS, "budget": 3, "restart_stuck": False})
        self.assertEqual(
            [(host.name, host.max_unavailable) for host in fleet.hosts], [("wb1", 2), ("wb2", 1)]
        )
        self.assertEqual(fleet.hosts[0].instances[1].config_path, os.path.join(self.folder, "n2.json"))

    def test_error_has_line_and_allowed_values(self):
        for old, new, line, message in (
            ('away="3"', 'away="many"', 4, "'many'"),
            ('role="act"', 'role="admin"', 2, "'view', 'act'"),
            ('silent="1500ms"', 'silent="soon"', 3, "pattern"),
            (' log="json"', ' lug="json"', 9, "'lug' is not allowed"),
            ('name="n3"', 'name="n1"', 9, "is defined in line 6 already"),
            ("127.0.0.1:7402", "127.0.0.1:99999", 8, "not a port"),
            ('away="3"', 'away="1"', 8, "nothing of the site's budget of 1 is left"),
            ('name="wb1"', 'name="wb1" away="4"', 4, "the sum of its hosts is 4"),
            ("</site>", "", 12, "not well-formed XML"),
        ):
            with self.subTest(new), self.assertRaises(SettingsError) as caught:
                self.read(VALID_XML.replace(old, new, 1))
            self.assertRegex(str(caught.exception).replace("\n", " "), rf"fleet\.xml:{line}: .*{message}")

    def test_reads_fair_sharing_and_reports_errors_in_it(self):
        fairness = '  <fairness by="tenant client" half="2s"><weight of="a" is="2.5"/></fairness>'
        xml = VALID_XML.replace("  <site name", fairness + "\n  <site name", 1)
        fair_sharing = self.read(xml).fairness
        self.assertEqual(
            (
                fair_sharing.flow_key,
                fair_sharing.weights,
                fair_sharing.half_life,
                fair_sharing.tracked_flows,
            ),
            (("tenant", "client"), (("a", 2.5),), 2 * SECOND, 256),
        )
        self.assertIsNone(self.read(VALID_XML).fairness)
        for old, new, message in (
            ('"tenant client"', '"a b c"', "pattern"),
            ('is="2.5"', 'is="0"', "0.001"),
            ('half="2s"', 'places="0"', "1 to 65536"),
            ('is="2.5"/>', 'is="2.5"/><weight of="a" is="1"/>', "is defined in line 4"),
        ):
            with self.subTest(new), self.assertRaisesRegex(SettingsError, message):
                self.read(xml.replace(old, new))

    def test_rejects_entities_document_types_and_huge_files(self):
        entity_xml = '<!DOCTYPE fleet [<!ENTITY a "aaaa">]>\n' + VALID_XML.replace(
            'name="guild"', 'name="&a;"'
        )
        for text in (
            entity_xml,
            '<!DOCTYPE fleet SYSTEM "file:///etc/passwd">' + VALID_XML,
            " " * (1 << 20) + VALID_XML,
            "",
        ):
            with self.assertRaises(SettingsError):
                self.read(text)
        with self.assertRaisesRegex(SettingsError, "No such file"):
            read_fleet(self.path + "x")

    def test_rejects_key_files_with_wrong_mode_or_content(self):
        fleet = self.read(VALID_XML)
        path = os.path.join(self.folder, "asha.key")
        with self.assertRaisesRegex(SettingsError, "key of operator asha is not on this host"):
            read_operator_key(fleet, "asha")
        write_key(path, secret := secrets.token_bytes(32))
        self.assertEqual(read_keys(fleet)["asha-1"].secret, secret)
        self.assertRaises(OSError, write_key, path, secret)
        os.chmod(path, 0o644)
        self.assertRaisesRegex(SettingsError, "mode 600", read_keys, fleet)
        os.chmod(path, 0o600)
        with open(path, "w") as file:
            file.write("not hexadecimal")
        self.assertRaisesRegex(SettingsError, "64 hexadecimal digits", read_operator_key, fleet, "asha")
        self.assertRaisesRegex(SettingsError, "no operator 'ravi'", read_operator_key, fleet, "ravi")

    @given(st.integers(0, 50), st.lists(st.integers(1, 9), min_size=1, max_size=9))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_shares_sum_to_the_budget_and_no_host_gets_zero_if_the_budget_suffices(self, total, sizes):
        shares = split_budget(total, sizes)
        self.assertEqual(sum(shares), total)
        self.assertGreaterEqual(min(shares), 0)
        if total >= len(sizes):
            self.assertGreaterEqual(min(shares), 1)
