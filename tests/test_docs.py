"""The documentation names only what exists."""

import ast
import importlib.util
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
TESTING = ROOT / 'docs' / 'testing.md'
LINES = [f'G{n}' for n in range(1, 15)] + [f'F{n}' for n in range(1, 13)]


def rows():
    """Return the cells of each line of the table, by its first cell."""
    found = {}
    for line in TESTING.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip('|').split('|')]
        if len(cells) == 4 and re.fullmatch(r'[GF]\d+', cells[0]):
            assert cells[0] not in found, f'{cells[0]} occurs twice'
            found[cells[0]] = cells
    return found


def names(cell):
    """Return what stands in backquotes."""
    return re.findall(r'`([^`]+)`', cell)


def methods_of(path):
    """Return the names of a file's tests as ``Class::test``."""
    return {
        f'{cls.name}::{item.name}'
        for cls in ast.parse((ROOT / path).read_text()).body
        if isinstance(cls, ast.ClassDef)
        for item in cls.body
        if isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef)
        and item.name.startswith('test_')
    }


class TestTableOfGuarantees:
    def test_every_guarantee_and_failure_has_a_line(self):
        """Guards against a guarantee without a test."""
        assert list(rows()) == LINES

    @pytest.mark.parametrize('line', LINES)
    def test_named_tests_and_modules_exist(self, line):
        """Guards against naming a test that was renamed or deleted."""
        _, _, tests, modules = rows()[line]
        assert names(tests)
        assert names(modules)
        for name in names(tests):
            path, _, test = name.partition('::')
            assert (ROOT / path).is_file(), name
            assert test in methods_of(path), name
        for module in names(modules):
            assert importlib.util.find_spec(module) is not None, module
