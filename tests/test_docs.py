"""Check that the tests and modules named in docs/testing.md exist."""

import ast
import importlib.util
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
TESTING_PAGE = ROOT / 'docs' / 'testing.md'
ROW_IDS = [f'G{n}' for n in range(1, 15)] + [f'F{n}' for n in range(1, 13)]


def table_rows():
    """Return the cells of each table row, keyed by the row's first cell."""
    rows = {}
    for line in TESTING_PAGE.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip('|').split('|')]
        if len(cells) == 4 and re.fullmatch(r'[GF]\d+', cells[0]):
            assert cells[0] not in rows, f'{cells[0]} occurs twice'
            rows[cells[0]] = cells
    return rows


def names_in(cell):
    """Return the names that a cell has in backquotes."""
    return re.findall(r'`([^`]+)`', cell)


def list_test_methods(path):
    """Return the test methods of a file as ``Class::test``."""
    return {
        f'{cls.name}::{item.name}'
        for cls in ast.parse((ROOT / path).read_text()).body
        if isinstance(cls, ast.ClassDef)
        for item in cls.body
        if isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef)
        and item.name.startswith('test_')
    }


class TestTableOfGuarantees:
    def test_every_guarantee_and_failure_has_a_row(self):
        """Guards against a guarantee or failure without a test."""
        assert list(table_rows()) == ROW_IDS

    @pytest.mark.parametrize('row_id', ROW_IDS)
    def test_named_tests_and_modules_exist(self, row_id):
        """Guards against references to renamed or deleted tests."""
        _, _, tests, modules = table_rows()[row_id]
        assert names_in(tests)
        assert names_in(modules)
        for name in names_in(tests):
            path, _, test = name.partition('::')
            assert (ROOT / path).is_file(), name
            assert test in list_test_methods(path), name
        for module in names_in(modules):
            assert importlib.util.find_spec(module) is not None, module
