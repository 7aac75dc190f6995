"""Tests of the plain policy, against which the product is compared."""

import pytest


@pytest.fixture(scope='module')
def system(make_system):
    return make_system(('z1',), ('z1',), policy='plain')


class TestPlainPolicy:
    def test_reads_go_to_the_primary(self, system):
        """Guards against comparing a policy with itself."""
        assert system.insert(1).status == 200
        roles = set()
        for _ in range(20):
            answer = system.caller().read(
                'SELECT a FROM t', consistency={'max_age_ms': 5000}
            )
            roles.add(answer.body['served_by']['role'])
        assert roles == {'primary'}
