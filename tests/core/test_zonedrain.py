"""Tests of orders that take availability zones out of service."""

import orjson
import pytest

from sassafrasridge_core import configuration
from sassafrasridge_core import errors
from sassafrasridge_core import state
from sassafrasridge_core import wholeconfig
from sassafrasridge_core import zonedrain

CONFIG = {'number': 1, 'services': [], 'routes': [], 'accounts': []}


def order(zone, drained, at=5.0):
    return {
        'type': 'zone',
        'zone': zone,
        'drained': drained,
        'operator': 'ana',
        'address': '127.0.0.1',
        'time': at,
    }


class Member:
    def __init__(self, data=None):
        self.state = state.State.decode(data) if data else state.State()

    def apply(self, command):
        return self.state.apply(self.state.index + 1, orjson.dumps(command))

    def zones(self):
        return self.state.tables.drained_zones()


class TestZoneOrders:
    def test_a_repeat_at_the_next_leader_is_acknowledged(self):
        """Guards against a leader killed between commit and answer.

        The caller sends the order again, and another member that applied it
        answers.
        """
        killed, successor = Member(), Member()
        for member in (killed, successor):
            assert member.apply(order('z1', True)).body['changed']
        again = successor.apply(order('z1', True, at=6.0))
        assert (again.status, again.body['changed']) == (200, False)
        (entry,) = successor.state.trail.select(kind='zone')
        assert (entry['who'], entry['what']) == ('ana', 'drain z1')
        assert successor.state.revision == 1

    def test_orders_survive_a_restart_from_a_snapshot(self):
        """Guards against an order that is only in the compacted log."""
        member = Member()
        member.apply(order('z1', True))
        restarted = Member(member.state.encode())
        assert restarted.zones() == {'z1'}
        assert restarted.state.encode() == member.state.encode()

    def test_a_snapshot_of_an_earlier_version_loads(self):
        """Guards against a member that can't start after an upgrade."""
        body = orjson.loads(state.State().encode())
        del body['tables'][configuration.DRAINED_ZONE]
        member = Member(orjson.dumps(body))
        assert member.zones() == frozenset()
        assert member.apply(order('z1', True)).ok

    def test_configurations_and_notes_leave_orders_alone(self):
        """Guards against a rollout that puts a drained zone into service."""
        member = Member()
        member.apply(order('z1', True))
        whole = {'type': 'configuration', 'configuration': CONFIG}
        assert member.apply({**whole, 'source': '{}'}).body['changed']
        zone = {'kind': 'drained_zone', 'zone': 'z1'}
        note = {'number': 1, 'withdrawn': [zone]}
        assert not member.apply({'type': 'note', 'note': note}).ok
        assert member.zones() == {'z1'}
        assert not wholeconfig.parse(CONFIG).changes(member.state.tables)

    def test_entry_processes_get_orders_by_delta_and_full_copy(self):
        """Guards against a process that never learns of an order."""
        member, by_delta, by_copy = (
            Member(),
            state.ConfigView(),
            state.ConfigView(),
        )
        for zone, drained in (('z1', True), ('z2', True), ('z1', False)):
            member.apply(order(zone, drained))
            by_copy.load(member.state.full()) if zone == 'z2' else None
        for delta in member.state.deltas_since(0):
            by_delta.apply(delta)
        for delta in member.state.deltas_since(by_copy.revision):
            by_copy.apply(delta)
        assert by_delta.drained_zones() == by_copy.drained_zones() == {'z2'}

    @pytest.mark.parametrize('zone', ['', 'a/b', 'z\n', 3, None, 'z' * 201])
    def test_malformed_zone_is_refused(self, zone):
        """Guards against a command that differs between members."""
        member = Member()
        assert member.apply(order(zone, True)).status == 400
        assert member.zones() == frozenset()
        with pytest.raises(errors.BadRequestError):
            zonedrain.check_zone(zone)


class TestDrainTracker:
    def test_a_process_that_was_cut_off_grants_less_time(self):
        """Guards against transactions that outlast 5 s after the order."""
        drains = zonedrain.DrainTracker()
        drains.update(100.0, ['z1'], renewal_age_s=3.9)
        assert drains.abort_due(100.6, 'z1')

    def test_a_second_order_does_not_extend_the_first(self):
        """Guards against orders that keep a transaction alive."""
        drains = zonedrain.DrainTracker()
        drains.update(100.0, ['z1'], 0.3)
        assert not drains.update(101.0, ['z1'], 0.3)
        assert drains.update(101.5, ['z1', 'z2'], 0.3)
        assert drains.abort_due(102.0, 'z1')
        assert not drains.abort_due(102.0, 'z2')

    def test_a_withdrawn_order_aborts_nothing(self):
        """Guards against aborts after the zone is back in service."""
        drains = zonedrain.DrainTracker()
        drains.update(100.0, ['z1'], 0.3)
        drains.update(101.0, [], 0.3)
        assert drains.usable('z1')
        assert not drains.abort_due(110.0, 'z1')
