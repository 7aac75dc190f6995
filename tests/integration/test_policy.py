"""Tests of the plain policy, the baseline that measurements compare with."""

import pytest


@pytest.fixture(scope='module')
def system(make_system):
    return make_system(('z1',), ('z1',), policy='plain')


class TestPlainPolicy:
    def test_reads_go_to_the_primary(self, system):
        """Guards against a baseline that routes reads as the product does."""
        assert system.insert(1).status == 200
        roles = set()
        for _ in range(20):
            answer = system.caller().read(
                'SELECT a FROM t', consistency={'max_age_ms': 5000}
            )
            roles.add(answer.body['served_by']['role'])
        assert roles == {'primary'}
