"""The ports of a fake site."""

import unittest

from oakkeel.fakes.site import free_port


class FreePortTest(unittest.TestCase):
    def test_never_gives_two_hosts_one_port(self):
        # A port that was given out may have no listener yet, so a probe alone does not find it in use.
        ports = [free_port() for _ in range(2000)]
        self.assertEqual(len(set(ports)), len(ports))


if __name__ == "__main__":
    unittest.main()
