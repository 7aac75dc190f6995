"""Regenerates the tables of docs/CAPACITY.md from measured slopes.

A table stands between ``<!-- begin NAME -->`` and ``<!-- end NAME -->``.
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
FOLDER = pathlib.Path('docs/slopes')
HEAD = (
    '| figure | value | error | limit | verdict | from |\n'
    '| --- | --- | --- | --- | --- | --- |\n'
)
PREFIXES = ((1e9, 'G'), (1e6, 'M'), (1e3, 'k'))
BYTE_UNITS = ('bytes', 'bytes/s')


def number(value: float, unit: str) -> str:
    """Return a value with its unit, three digits.

    >>> number(27_500.0, 'bytes/s')
    '27.5 kB/s'
    >>> number(0.0123, 'core')
    '1.23% of a core'
    >>> number(8.25, 'core')
    '8.25 cores'
    """
    if unit == 'core' and abs(value) > 1:
        return f'{value:.3g} cores'
    if unit == 'core':
        return f'{100 * value:.3g}% of a core'
    if unit in BYTE_UNITS:
        for size, prefix in PREFIXES:
            if abs(value) >= size:
                short = f'{value / size:.3g} {prefix}B'
                return short + unit.removeprefix('bytes')
    return f'{value:.3g} {unit}'


def row(figure: capacityfigures.Figure) -> str:
    """Return the table row of a figure."""
    estimate = figure.estimate
    limit = ''
    if figure.limit is not None:
        limit = number(figure.limit, figure.unit)
    sources = ', '.join(f'`{name}`' for name in sorted(estimate.sources))
    cells = (
        figure.what,
        number(estimate.value, figure.unit),
        number(estimate.error, figure.unit),
        limit,
        figure.verdict(),
        sources,
    )
    return f'| {" | ".join(cells)} |\n'


def slopes_table(folder: pathlib.Path) -> str:
    """Return the table of all measured lines."""
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


def run_table(folder: pathlib.Path) -> str:
    """Return the circumstances of the run."""
    data = orjson.loads((folder / 'run.json').read_bytes())
    before, after = data['before'], data['after']
    return (
        f'Python {before["python"]}, {before["machine"]}, '
        f'{before["cores"]} cores; load average over one minute '
        f'{before["load_1min"]} before and {after["load_1min"]} after the '
        f'run; complete: {"yes" if data["complete"] else "no"}.\n'
    )


def tables(folder: pathlib.Path) -> dict[str, str]:
    """Return every table by name."""
    roles = capacityfigures.Roles(
        capacityfigures.Measured(folder),
        capacitysizes.Sizes(),
        capacitysizes.Limits(),
    )
    figures = {
        'entry': roles.entry(),
        'data': roles.data(),
        'relay': roles.relay(),
        'leader': roles.leader(),
        'voter': roles.voter(),
        'restart': roles.restart_of_all(),
        'node': roles.new_node(),
        'losses': roles.losses(),
    }
    found = {
        name: HEAD + ''.join(row(figure) for figure in rows)
        for name, rows in figures.items()
    }
    found['slopes'] = slopes_table(folder)
    found['run'] = run_table(folder)
    return found


def fill(page: str, found: collections.abc.Mapping[str, str]) -> str:
    """Return the page with its tables replaced.

    Raises ValueError when a table has no place on the page.

    >>> fill('a <!-- begin x -->old<!-- end x -->', {'x': 'new'})
    'a <!-- begin x -->\\n\\nnew\\n<!-- end x -->'
    """
    for name, table in found.items():
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
            raise ValueError(f'the page has {count} places for {name!r}')
    return page


def main() -> None:
    """Rewrite the page; with --check, exit with 1 if it is out of date."""
    parser = argparse.ArgumentParser(description='Regenerate CAPACITY.md.')
    parser.add_argument('--folder', type=pathlib.Path, default=FOLDER)
    parser.add_argument('--page', type=pathlib.Path, default=PAGE)
    parser.add_argument('--check', action='store_true')
    args = parser.parse_args()
    page = args.page.read_text()
    filled = fill(page, tables(args.folder))
    if args.check:
        sys.exit(0 if filled == page else 1)
    args.page.write_text(filled)


if __name__ == '__main__':
    main()
