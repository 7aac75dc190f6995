"""Regenerates the tables of docs/CAPACITY.md from measured costs.

Each table is delimited by ``<!-- begin NAME -->`` and ``<!-- end NAME -->``.
"""

import argparse
import collections.abc
import pathlib
import re
import sys

import orjson

from sassafrasridge_testkit import capacityfigures
from sassafrasridge_testkit import capacitysizes

PAGE = pathlib.Path('docs/CAPACITY.md')
SLOPES_FOLDER = pathlib.Path('docs/slopes')
TABLE_HEADER = (
    '| figure | value | error | limit | verdict | from |\n'
    '| --- | --- | --- | --- | --- | --- |\n'
)
UNIT_PREFIXES = ((1e9, 'G'), (1e6, 'M'), (1e3, 'k'))
BYTE_UNITS = ('bytes', 'bytes/s')


def format_quantity(value: float, unit: str) -> str:
    """Format a value with its unit to three significant digits.

    >>> format_quantity(27_500.0, 'bytes/s')
    '27.5 kB/s'
    >>> format_quantity(0.0123, 'core')
    '1.23% of a core'
    >>> format_quantity(8.25, 'core')
    '8.25 cores'
    """
    if unit == 'core' and abs(value) > 1:
        return f'{value:.3g} cores'
    if unit == 'core':
        return f'{100 * value:.3g}% of a core'
    if unit in BYTE_UNITS:
        for size, prefix in UNIT_PREFIXES:
            if abs(value) >= size:
                scaled = f'{value / size:.3g} {prefix}B'
                return scaled + unit.removeprefix('bytes')
    return f'{value:.3g} {unit}'


def format_row(figure: capacityfigures.CapacityFigure) -> str:
    """Return a figure as a Markdown table row."""
    estimate = figure.estimate
    limit = ''
    if figure.limit is not None:
        limit = format_quantity(figure.limit, figure.unit)
    sources = ', '.join(f'`{name}`' for name in sorted(estimate.sources))
    cells = (
        figure.description,
        format_quantity(estimate.value, figure.unit),
        format_quantity(estimate.error, figure.unit),
        limit,
        figure.verdict(),
        sources,
    )
    return f'| {" | ".join(cells)} |\n'


def format_slopes_table(folder: pathlib.Path) -> str:
    """Return a Markdown table of all fitted lines in a folder."""
    lines = [
        '| slope | per unit | error | at 0 | error | unit | sizes |\n',
        '| --- | --- | --- | --- | --- | --- | --- |\n',
    ]
    for path in sorted(folder.glob('*.json')):
        data = orjson.loads(path.read_bytes())
        if 'fit' not in data:
            continue
        fit = data['fit']
        sizes = ', '.join(f'{x:g}' for x, _ in data['points'])
        cells = (
            f'[{data["name"]}](slopes/{data["name"]}.png)',
            f'{fit["slope"]:.3g}',
            f'{fit["slope_error"]:.2g}',
            f'{fit["intercept"]:.3g}',
            f'{fit["intercept_error"]:.2g}',
            data['unit'],
            sizes,
        )
        lines.append(f'| {" | ".join(cells)} |\n')
    return ''.join(lines)


def format_run_summary(folder: pathlib.Path) -> str:
    """Return a sentence on the environment and completeness of a run."""
    data = orjson.loads((folder / 'run.json').read_bytes())
    before, after = data['before'], data['after']
    return (
        f'Python {before["python"]}, {before["machine"]}, '
        f'{before["cores"]} cores; load average over one minute '
        f'{before["load_1min"]} before and {after["load_1min"]} after the '
        f'run; complete: {"yes" if data["complete"] else "no"}.\n'
    )


def build_tables(folder: pathlib.Path) -> dict[str, str]:
    """Return the generated text of each table by table name."""
    role_figures = capacityfigures.RoleFigures(
        capacityfigures.FittedCosts(folder),
        capacitysizes.Sizes(),
        capacitysizes.Limits(),
    )
    figures = {
        'entry': role_figures.entry_process_figures(),
        'data': role_figures.data_path_figures(),
        'relay': role_figures.relay_figures(),
        'leader': role_figures.leader_figures(),
        'voter': role_figures.voter_figures(),
        'restart': role_figures.full_restart_figures(),
        'node': role_figures.new_node_figures(),
        'losses': role_figures.loss_figures(),
    }
    table_by_name = {
        name: TABLE_HEADER + ''.join(format_row(figure) for figure in rows)
        for name, rows in figures.items()
    }
    table_by_name['slopes'] = format_slopes_table(folder)
    table_by_name['run'] = format_run_summary(folder)
    return table_by_name


def replace_tables(
    page: str, table_by_name: collections.abc.Mapping[str, str]
) -> str:
    """Return the page with the content between table markers replaced.

    Raises ValueError unless each table has exactly one pair of markers.

    >>> replace_tables('a <!-- begin x -->old<!-- end x -->', {'x': 'new'})
    'a <!-- begin x -->\\n\\nnew\\n<!-- end x -->'
    """
    for name, table in table_by_name.items():
        pattern = re.compile(
            f'(<!-- begin {name} -->).*?(<!-- end {name} -->)', re.DOTALL
        )
        page, count = pattern.subn(
            lambda match, table=table: (
                f'{match.group(1)}\n\n{table}\n{match.group(2)}'
            ),
            page,
        )
        if count != 1:
            raise ValueError(
                f'the page has {count} marker pairs for table {name!r}'
            )
    return page


def main() -> None:
    """Rewrite the page; with --check, only exit with 1 if it is outdated."""
    parser = argparse.ArgumentParser(description='Regenerate CAPACITY.md.')
    parser.add_argument('--folder', type=pathlib.Path, default=SLOPES_FOLDER)
    parser.add_argument('--page', type=pathlib.Path, default=PAGE)
    parser.add_argument('--check', action='store_true')
    args = parser.parse_args()
    page = args.page.read_text()
    updated_page = replace_tables(page, build_tables(args.folder))
    if args.check:
        sys.exit(0 if updated_page == page else 1)
    args.page.write_text(updated_page)


if __name__ == '__main__':
    main()
