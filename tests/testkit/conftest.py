"""Fixtures of the test kit's own tests."""

import pytest

from sassafrasridge_testkit import harness


@pytest.fixture
def kit():
    with harness.Harness() as result:
        yield result


@pytest.fixture
def group(kit):
    result = kit.start_group(
        options=('--record', '--majority-timeout-ms', '200')
    )
    result['g1'].client().execute(1, 'CREATE TABLE t (a PRIMARY KEY)')
    result.wait_replicated()
    return result
