"""Settings of a fleet: what is read, and the one line for each fault."""

import os
import secrets
import tempfile
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from oakkeel.fleet.fan_out import MS
from oakkeel.fleet.view import SECOND
from oakkeel.settings.fleet import Fleet, SettingsError, read_fleet, split
from oakkeel.settings.keys import key_of, read_keys, write_key

GOOD = """<fleet xmlns="urn:oakkeel:fleet:1" name="guild">
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


class SettingsStories(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = os.path.join(self.folder, "fleet.xml")

    def read(self, text: str) -> Fleet:
        with open(self.path, "w") as file:
            file.write(text)
        return read_fleet(self.path)

    def test_what_is_set_comes_out_and_the_rest_is_built_in(self):
        fleet = self.read(GOOD)
        self.assertEqual(fleet.supervision, {"silent": 1500 * MS, "budget": 3, "restart_stuck": False})
        self.assertEqual([(host.name, host.away) for host in fleet.hosts], [("wb1", 2), ("wb2", 1)])
        self.assertEqual(fleet.hosts[0].instances[1].config, os.path.join(self.folder, "n2.json"))

    def test_each_fault_is_a_line_with_place_and_what_is_allowed(self):
        for old, new, line, words in (
            ('away="3"', 'away="many"', 4, "'many'"),
            ('role="act"', 'role="admin"', 2, "'view', 'act'"),
            ('silent="1500ms"', 'silent="soon"', 3, "pattern"),
            (' log="json"', ' lug="json"', 9, "'lug' is not allowed"),
            ('name="n3"', 'name="n1"', 9, "stands in line 6 already"),
            ("127.0.0.1:7402", "127.0.0.1:99999", 8, "no port"),
            ('away="3"', 'away="1"', 8, "nothing is left for it"),
            ('name="wb1"', 'name="wb1" away="4"', 4, "told 4 in all"),
            ("</site>", "", 12, "no XML"),
        ):
            with self.subTest(new), self.assertRaises(SettingsError) as caught:
                self.read(GOOD.replace(old, new, 1))
            self.assertRegex(str(caught.exception).replace("\n", " "), rf"fleet\.xml:{line}: .*{words}")

    def test_fair_shares_are_read_and_what_cannot_be_is_named(self):
        fairness = '  <fairness by="tenant client" half="2s"><weight of="a" is="2.5"/></fairness>'
        plain = GOOD.replace("  <site name", fairness + "\n  <site name", 1)
        fair = self.read(plain).fairness
        self.assertEqual(
            (fair.by, fair.weights, fair.half, fair.places),
            (("tenant", "client"), (("a", 2.5),), 2 * SECOND, 256),
        )
        self.assertIsNone(self.read(GOOD).fairness)
        for old, new, words in (
            ('"tenant client"', '"a b c"', "pattern"),
            ('is="2.5"', 'is="0"', "0.001"),
            ('half="2s"', 'places="0"', "1 to 65536"),
            ('is="2.5"/>', 'is="2.5"/><weight of="a" is="1"/>', "stands in line 4"),
        ):
            with self.subTest(new), self.assertRaisesRegex(SettingsError, words):
                self.read(plain.replace(old, new))

    def test_entities_document_types_and_huge_files_are_refused(self):
        bomb = '<!DOCTYPE fleet [<!ENTITY a "aaaa">]>\n' + GOOD.replace('name="guild"', 'name="&a;"')
        for text in (bomb, '<!DOCTYPE fleet SYSTEM "file:///etc/passwd">' + GOOD, " " * (1 << 20) + GOOD, ""):
            with self.assertRaises(SettingsError):
                self.read(text)
        with self.assertRaisesRegex(SettingsError, "No such file"):
            read_fleet(self.path + "x")

    def test_a_key_that_others_may_read_or_that_is_none_is_refused(self):
        fleet = self.read(GOOD)
        path = os.path.join(self.folder, "asha.key")
        with self.assertRaisesRegex(SettingsError, "no key of asha here"):
            key_of(fleet, "asha")
        write_key(path, secret := secrets.token_bytes(32))
        self.assertEqual(read_keys(fleet)["asha-1"].secret, secret)
        self.assertRaises(OSError, write_key, path, secret)
        os.chmod(path, 0o644)
        self.assertRaisesRegex(SettingsError, "mode 600", read_keys, fleet)
        os.chmod(path, 0o600)
        with open(path, "w") as file:
            file.write("not hexadecimal")
        self.assertRaisesRegex(SettingsError, "64 hexadecimal digits", key_of, fleet, "asha")
        self.assertRaisesRegex(SettingsError, "no operator 'ravi'", key_of, fleet, "ravi")

    @given(st.integers(0, 50), st.lists(st.integers(1, 9), min_size=1, max_size=9))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_a_bound_is_split_without_rest_and_none_is_left_out_if_it_need_not(self, whole, sizes):
        shares = split(whole, sizes)
        self.assertEqual(sum(shares), whole)
        self.assertGreaterEqual(min(shares), 0)
        if whole >= len(sizes):
            self.assertGreaterEqual(min(shares), 1)
