"""Tests of changes of a group's primary."""

import asyncio

from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_core import promotion
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import groups
from sassafrasridge_node import metrics

GROUP = 'g'
MEMBERS = {'g1': 'a1', 'g2': 'a2', 'g3': 'a3'}
WAIT_S = 5.0
POLL_S = 0.005
POLLS = 30


class _Store(groups.GroupStore):
    """Store the view of one group whose primary is being changed."""

    def __init__(self):
        self.committed = model.GroupView(
            GROUP, 2, None, MEMBERS, {1: 0}, changing=True
        )

    def view(self, group):
        return self.committed

    def revision(self):
        return self.committed.term

    def names(self):
        return [GROUP]

    async def commit(self, view):
        self.committed = view


class _Dialer:
    """Stub of a dialer whose targets accept every order."""

    def __init__(self, silent=()):
        self._silent = silent
        self.orders = []

    async def open(self, address, timeout_s):
        if address in self._silent:
            raise connections.ConnectionLostError('no answer', sent=False)
        return _Connection(self, address)


class _Connection:
    def __init__(self, dialer, address):
        self._dialer = dialer
        self._address = address

    async def call(self, path, body, timeout_s):
        self._dialer.orders.append((path, self._address))
        server = next(s for s, a in MEMBERS.items() if a == self._address)
        return connections.Answer(
            200,
            {
                'server': server,
                'term': body['term'],
                'last_term': 1,
                'received': 7,
            },
        )

    def close(self):
        pass


async def _wait_until(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(POLL_S)


class TestHttpGroupReconciler:
    def _run(self, scenario, lease_s=60.0, silent=()):
        """Run a scenario beside a reconciler and one lease holder."""

        async def main():
            now = clocks.boottime()
            table = leases.LeaseTable(
                leases.LeaseTimes(0.3, lease_s, 2 * lease_s),
                now - 3 * lease_s,
            )
            holder = table.grant(now, 'e1#1', 'e1')
            store, dialer = _Store(), _Dialer(silent)
            reconciler = groups.HttpGroupReconciler(
                store,
                promotion.FailureDetector(0.8),
                table,
                'z1',
                dialer,
                metrics.Metrics(),
            )
            task = asyncio.ensure_future(reconciler.run())
            try:
                await scenario(store, dialer, holder, reconciler)
            finally:
                task.cancel()

        asyncio.run(main())

    @staticmethod
    async def _assert_no_primary_chosen(store, dialer):
        await _wait_until(lambda: len(dialer.orders) >= 2)
        for _ in range(POLLS):
            await asyncio.sleep(POLL_S)
            assert store.committed.primary is None
        assert {path for path, _ in dialer.orders} == {'/fence'}

    def test_waits_until_a_holder_has_the_new_view(self):
        """Guards against a promotion while the old view is in use.

        An entry process that holds a lease may acknowledge writes of the
        former primary until it has confirmed the new view.
        """

        async def scenario(store, dialer, holder, reconciler):
            await self._assert_no_primary_chosen(store, dialer)
            holder.view_revision = store.revision()
            await _wait_until(lambda: store.committed.primary is not None)
            assert store.committed.term == 2
            assert store.committed.starts == {1: 0, 2: 7}
            await _wait_until(lambda: '/promote' in dict(dialer.orders))

        self._run(scenario)

    def test_waits_until_the_lease_of_a_lost_holder_is_over(self):
        """Guards against waiting indefinitely for a failed process."""
        lease_s = 0.3

        async def scenario(store, dialer, holder, reconciler):
            await _wait_until(lambda: store.committed.primary is not None)
            passed = clocks.boottime() - holder.answered_at
            assert passed >= lease_s * (1 + leases.MAX_CLOCK_DRIFT)

        self._run(scenario, lease_s=lease_s)

    def test_promotes_nothing_without_a_fenced_majority(self):
        """Guards against a primary that lacks acknowledged writes."""

        async def scenario(store, dialer, holder, reconciler):
            holder.view_revision = store.revision()
            await _wait_until(
                lambda: GROUP in reconciler.groups_without_majority
            )
            assert store.committed.primary is None

        self._run(scenario, silent=('a1', 'a2'))
