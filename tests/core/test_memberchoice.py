"""Tests of the choice of a control member.

Pattern of load: hundreds of entry VMs in six availability zones renew their
leases, with one control member in each zone.
"""

import hypothesis
from hypothesis import strategies

from sassafrasridge_core import memberchoice

MEMBERS = ['m1', 'm2', 'm3', 'm4', 'm5', 'm6']
ZONES = {name: f'z{name[1]}' for name in MEMBERS}


def renew(choice, now, down=()):
    """Renew once with the current member; return its name."""
    used = choice.current
    if used in down:
        choice.failed(now)
    else:
        choice.granted(now, ZONES[used])
        choice.follow(MEMBERS)
    return used


def settle(choice, start=0.0, down=(), renewals=12):
    for step in range(renewals):
        renew(choice, start + 0.4 * step, down)
    return choice.current


class TestManyHolders:
    def test_every_zone_renews_with_its_own_member(self):
        """Guards against renewals that all cross regions to the leader."""
        for zone in ZONES.values():
            choice = memberchoice.MemberChoice(MEMBERS[:3], zone)
            assert ZONES[settle(choice)] == zone

    def test_a_settled_process_stays(self):
        choice = memberchoice.MemberChoice(MEMBERS, 'z4')
        settle(choice)
        assert {renew(choice, 10 + n) for n in range(20)} == {'m4'}

    def test_a_zone_without_a_member_uses_the_first_one(self):
        choice = memberchoice.MemberChoice(MEMBERS, 'elsewhere')
        assert settle(choice) == 'm1'

    def test_a_member_that_reports_no_zone_is_kept(self):
        """Guards against moving around while builds run beside each other."""
        choice = memberchoice.MemberChoice(MEMBERS, 'z4')
        for now in range(5):
            choice.granted(float(now), '')
        assert choice.current == 'm1'


class TestLostMember:
    def test_the_next_renewal_goes_elsewhere_and_returns_later(self):
        choice = memberchoice.MemberChoice(MEMBERS, 'z2')
        assert settle(choice) == 'm2'
        used = [renew(choice, 20 + 0.4 * n, down=('m2',)) for n in range(6)]
        assert used.count('m2') == 1
        assert settle(choice, start=24.0) == 'm2'

    def test_learned_addresses_that_all_fail_lead_to_the_seeds(self):
        choice = memberchoice.MemberChoice(['seed'], 'z')
        choice.follow(['m1', 'm2'])
        for now in range(2):
            choice.failed(float(now))
        assert choice.members == ['m1', 'm2', 'seed']

    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(['grant', 'fail', 'shrink', 'grow']),
            max_size=60,
        )
    )
    def test_there_is_always_a_member_to_try(self, events):
        choice = memberchoice.MemberChoice(MEMBERS[:3], 'z5')
        for step, event in enumerate(events):
            now = 0.4 * step
            if event == 'grant':
                choice.granted(now, ZONES[choice.current])
            elif event == 'fail':
                choice.failed(now)
            elif event == 'shrink':
                choice.follow(MEMBERS[3:5])
            else:
                choice.follow(MEMBERS)
            assert choice.current in MEMBERS
