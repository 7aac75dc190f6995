"""Tests of the assignment of entry processes to groups."""

import collections

import hypothesis
from hypothesis import strategies

from sassafrasridge_core import placement

ENTRIES = [f'entry-{n}' for n in range(640)]
GROUPS = [f'group-{n}' for n in range(1200)]


class TestServingSet:
    def test_groups_spread_evenly(self):
        """Guards against a process that serves far too many groups."""
        counts = collections.Counter(
            entry
            for group in GROUPS
            for entry in placement.serving_set(group, ENTRIES)
        )
        # The mean is 1,200 * 7 / 640 = 13.1. The bound is six standard
        # deviations of the binomial distribution above it: 13.1 + 6 * 3.6.
        assert max(counts.values()) <= 35
        assert len(counts) == len(ENTRIES)

    def test_a_lost_entry_changes_only_its_own_groups(self):
        """Guards against reassigning unrelated groups."""
        rest = ENTRIES[1:40]
        for group in GROUPS[:100]:
            before = placement.serving_set(group, ENTRIES[:40])
            after = placement.serving_set(group, rest)
            kept = [entry for entry in before if entry != ENTRIES[0]]
            assert after[: len(kept)] == kept

    def test_every_zone_has_a_member(self):
        """Guards against a partitioned zone without a serving process."""
        zones = {entry: f'z{n % 6}' for n, entry in enumerate(ENTRIES)}
        for group in GROUPS[:50]:
            chosen = placement.serving_set(group, ENTRIES, zones=zones)
            assert len(set(chosen)) == 7
            assert {zones[entry] for entry in chosen} == set(zones.values())


class TestServingSets:
    @hypothesis.given(
        strategies.lists(
            strategies.dictionaries(
                strategies.sampled_from([f'e{n}' for n in range(20)]),
                strategies.sampled_from(['z1', 'z2', 'z3']),
            ),
            max_size=8,
        )
    )
    def test_sets_are_those_of_the_current_processes(self, lists):
        """Guards against a leader and processes with different sets.

        A process that the leader leaves out gets no connections.
        """
        sets = placement.ServingSets()
        for zones in lists:
            sets.update(zones)
            for group in ('g1', 'g2'):
                assert sets.get(group) == placement.serving_set(
                    group, list(zones), zones=zones
                )
