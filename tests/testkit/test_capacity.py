"""Tests of the calculations and tables of docs/CAPACITY.md."""

import pathlib

import pytest

from sassafrasridge_testkit import capacity
from sassafrasridge_testkit import capacityfigures
from sassafrasridge_testkit import capacitysizes
from sassafrasridge_testkit import slopefit

Estimate = capacityfigures.Estimate
Figure = capacityfigures.CapacityFigure


def write_line_file(folder, name, slope, intercept):
    series = slopefit.CostSeries(name, name, 'item', 's')
    for x in (0, 1, 2, 3):
        series.add(x, intercept + slope * x)
    series.write(folder)


class TestSizes:
    def test_stated_sizes_give_the_stated_rates(self):
        """Guards against figures for a size other than the stated one."""
        sizes = capacitysizes.Sizes()
        assert sizes.node_statements_per_s == pytest.approx(1218.75)
        assert sizes.connections / sizes.nodes == pytest.approx(2343.75)
        assert sizes.fleet_renewals_per_s == pytest.approx(2133.3, abs=0.1)
        assert sizes.targets_per_entry == pytest.approx(39.375)
        # 3,600 targets, two processes each, every second, over 640 nodes.
        assert sizes.announcements_per_s == pytest.approx(11.25)
        assert sizes.renewals_per_batch == pytest.approx(15.24, abs=0.01)


class TestEstimate:
    def test_errors_add(self):
        """Guards against errors that cancel out under a negative factor."""
        combined = Estimate(1.0, 0.1, frozenset('a')) + Estimate(
            2.0, 0.2, frozenset('b')
        ) * (-2.0)
        assert combined.value == pytest.approx(-3.0)
        assert combined.error == pytest.approx(0.5)
        assert combined.sources == {'a', 'b'}

    def test_sum_of_no_estimates_is_zero(self):
        """Guards against a sum that fails without any estimate."""
        assert capacityfigures.sum_estimates([]).value == 0.0


class TestVerdict:
    @pytest.mark.parametrize(
        ('value', 'error', 'expected'),
        [
            (0.9, 0.01, capacityfigures.LIMIT_HOLDS),
            (0.9, 0.06, capacityfigures.LIMIT_UNDECIDED),
            (1.0, 0.0, capacityfigures.LIMIT_HOLDS),
            (1.1, 0.06, capacityfigures.LIMIT_UNDECIDED),
            (1.1, 0.01, capacityfigures.LIMIT_EXCEEDED),
        ],
    )
    def test_verdict_requires_a_margin_to_the_limit(
        self, value, error, expected
    ):
        """Guards against a verdict that measurement noise could reverse."""
        assert Figure('x', 's', Estimate(value, error), 1.0).verdict() == (
            expected
        )

    def test_no_limit_gives_no_verdict(self):
        """Guards against a verdict on a figure that has no stated limit."""
        assert Figure('x', 's', Estimate(1.0)).verdict() == ''


class TestRoles:
    def role_figures(self, folder):
        return capacityfigures.RoleFigures(
            capacityfigures.FittedCosts(folder),
            capacitysizes.Sizes(),
            capacitysizes.Limits(),
        )

    def test_fixed_cost_of_a_renewal_is_added_once(self, tmp_path):
        """Guards against adding the intercepts of several lines."""
        write_line_file(tmp_path, 'renewal_accounts_entry_cpu', 2.0, 7.0)
        write_line_file(tmp_path, 'renewal_targets_entry_cpu', 3.0, 1000.0)
        write_line_file(tmp_path, 'renewal_live_entry_cpu', 5.0, 1000.0)
        cost = self.role_figures(tmp_path).renewal_cost('entry_cpu')
        expected = 7 + 2 * 100 + 3 * 39.375 + 5 * 640
        assert cost.value == pytest.approx(expected)
        assert cost.sources == {
            'renewal_live_entry_cpu',
            'renewal_accounts_entry_cpu',
            'renewal_targets_entry_cpu',
        }

    def test_statement_cost_is_weighted_by_relaying_and_kind(self, tmp_path):
        """Guards against counting only one process of a relayed statement."""
        for kind, factor in (('read', 1.0), ('write', 10.0)):
            write_line_file(
                tmp_path, f'{kind}_direct_owner_cpu', 1.0 * factor, 5.0
            )
            write_line_file(
                tmp_path, f'{kind}_relayed_relay_cpu', 2.0 * factor, 5.0
            )
            write_line_file(
                tmp_path, f'{kind}_relayed_owner_cpu', 3.0 * factor, 5.0
            )
        role_figures = self.role_figures(tmp_path)
        assert role_figures._statement_cost(0.0).value == pytest.approx(
            0.9 + 1.0
        )
        assert role_figures._statement_cost(1.0).value == pytest.approx(
            4.5 + 5.0
        )
        assert role_figures._statement_cost(0.5).value == pytest.approx(
            (1.9 + 9.5) / 2
        )

    def test_inverse_keeps_the_relative_error(self):
        """Guards against an error that is not converted with the value."""
        found = capacityfigures._reciprocal(Estimate(0.002, 0.0002))
        assert found.value == pytest.approx(500.0)
        assert found.error == pytest.approx(50.0)


class TestPage:
    def test_missing_markers_are_an_error(self):
        """Guards against silently leaving out a table without markers."""
        with pytest.raises(ValueError, match='x'):
            capacity.replace_tables('no place', {'x': 'table'})

    def test_filling_again_changes_nothing(self):
        """Guards against a page that grows each time it is regenerated."""
        page = 'a\n<!-- begin x -->\n<!-- end x -->\nb\n'
        once = capacity.replace_tables(page, {'x': '| 1 |\n'})
        assert capacity.replace_tables(once, {'x': '| 1 |\n'}) == once
        assert once.startswith('a\n') and once.endswith('b\n')

    def test_row_names_its_source_files(self):
        """Guards against a figure that does not name its source files."""
        figure = Figure(
            'memory', 'bytes', Estimate(64e6, 1e6, frozenset(['m'])), 128e6
        )
        assert capacity.format_row(figure) == (
            '| memory | 64 MB | 1 MB | 128 MB | holds | `m` |\n'
        )

    def test_committed_page_matches_the_committed_files(self):
        """Guards against page content that differs from the committed data."""
        root = pathlib.Path(__file__).parents[2]
        page = (root / capacity.PAGE).read_text()
        found = capacity.build_tables(root / capacity.SLOPES_FOLDER)
        assert capacity.replace_tables(page, found) == page
