"""Test how hosts share the slots of targets that must not turn requests away."""

import unittest

from trefoilstage.components.targets.brittle import (
    FORGET_AFTER_S,
    BrittleServices,
    count_own_slots,
)


class OwnSlotsTest(unittest.TestCase):
    """Count the slots of each host."""

    def test_shares_of_all_hosts_add_up_to_the_slots(self) -> None:
        """Guard against hosts that together fill more than a target has."""
        for n_hosts in (1, 3, 7, 66, 195, 410):
            hosts = tuple(f"host-{number}" for number in range(n_hosts))
            for n_slots in (1, 6, 64):
                with self.subTest(n_hosts=n_hosts, n_slots=n_slots):
                    shares = [
                        count_own_slots(host, hosts, "i-1@0", n_slots) for host in hosts
                    ]
                    self.assertEqual(sum(shares), n_slots)
                    self.assertLessEqual(max(shares) - min(shares), 1)

    def test_host_that_leaves_still_serves(self) -> None:
        """Guard against a host that refuses all callers while it shuts down."""
        self.assertEqual(count_own_slots("host-0", ("host-1",), "i-1@0", 6), 1)


class BrittleServicesTest(unittest.TestCase):
    """Test how long a service counts as brittle."""

    def test_service_is_brittle_until_its_targets_say_so_no_more(self) -> None:
        """Guard against callers refused for good after targets were brittle."""
        services = BrittleServices()
        self.assertTrue(services.record("model", 1.0))
        self.assertFalse(services.record("model", 2.0))
        self.assertTrue(services.is_brittle("model", 2.0 + FORGET_AFTER_S))
        self.assertFalse(services.is_brittle("model", 2.1 + FORGET_AFTER_S))
        self.assertFalse(services.is_brittle("booking", 2.0))


if __name__ == "__main__":
    unittest.main()
