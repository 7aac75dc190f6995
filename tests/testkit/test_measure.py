"""Tests of the measurement report and of a short measurement."""

import orjson
import pytest

from sassafrasridge_testkit import measure
from sassafrasridge_testkit import platforms
from sassafrasridge_testkit import scenarios

FIELDS = {
    'scenario',
    'policy',
    'replica_read_share',
    'eligible_read_share',
    'failover_gap_s',
    'worst_account_goodput_ratio',
    'in_rate_requests',
    'wrongful_refusals',
    'rate_overrun_ratio',
    'read_your_writes_violations',
    'lost_acknowledged_writes',
    'doubled_requests',
    'false_not_run',
    'crossed_answers',
    'seed',
    'offered_per_s',
    'refusals',
}


def record(**fields):
    values = {key: 0 for _, key, _ in measure.COLUMNS}
    return {
        **values,
        'scenario': 'steady',
        'policy': 'plain',
        'failover_gap_s': None,
        **fields,
    }


class TestReport:
    @pytest.mark.parametrize('guarantee', measure.GUARANTEES)
    def test_each_violation_counts(self, guarantee):
        """Guards against a run that passes with a violated guarantee."""
        assert measure.count_violations(record()) == 0
        assert measure.count_violations(record(**{guarantee: 2})) == 2

    def test_table(self):
        """Guards against a table that can't show a run without a failover."""
        text = measure.table([record(), record(failover_gap_s=1.5)])
        assert text.splitlines()[0].startswith('scenario')
        assert '1.50' in text
        assert len(text.splitlines()) == 3


class TestPlatforms:
    def test_sizes(self):
        """Guards against platforms that differ from those of the design."""
        registry, quotes = platforms.PLATFORMS.values()
        assert (registry.slots, quotes.slots) == (5, 2)
        assert (registry.connect_cost_ms, quotes.connect_cost_ms) == (10, 30)
        for platform in (registry, quotes):
            assert len(platform.accounts) == 8
            assert len(platform.services) == len(platforms.ZONES) == 3
        assert len(platforms.ENTRY_ZONES) == 7


class TestRun:
    @pytest.mark.timeout(120)
    def test_short_run(self, tmp_path, monkeypatch):
        """Guards against measurements that no longer start or report."""
        monkeypatch.setattr(scenarios.Steady, 'duration_s', 2.0)
        monkeypatch.setattr(scenarios.Steady, 'with_plain_policy', False)
        code = measure.main(
            [
                *('--scenario', 'steady', '--platform', 'quotes'),
                *('--folder', str(tmp_path)),
            ]
        )
        (found,) = orjson.loads((tmp_path / 'quotes.json').read_bytes())
        assert found.keys() >= FIELDS
        assert found['error'] == ''
        assert found['done'] > 50
        assert code == 0
