"""Tests of the replication of the stand-in database server."""

import asyncio

import pytest

from sassafrasridge_testkit import engine
from sassafrasridge_testkit import faults
from sassafrasridge_testkit import replication
from sassafrasridge_testkit import txlog
from sassafrasridge_testkit import webserver


def _entry(term, value):
    statement = engine.Statement('SELECT ?', [value])
    return txlog.Entry(term, [statement], None)


def _create_replication(name, entries=()):
    log = txlog.Log()
    for entry in entries:
        log.append(entry)
    return replication.Replication(
        name, 'g', log, faults.Faults(), lambda: None
    )


def _replicate_body(term, start, previous, entries, majority=0):
    index, previous_term = previous
    return {
        'term': term,
        'start': start,
        'previous_index': index,
        'previous_term': previous_term,
        'entries': [entry.encode() for entry in entries],
        'majority': majority,
        'members': {},
    }


class TestReplica:
    def test_last_term_needs_all_entries_up_to_its_start(self):
        """Guards against promoting a log that lacks acknowledged writes."""
        replica = _create_replication('g2')
        entries = [_entry(1, number) for number in range(3)]
        replica.replicate(_replicate_body(2, 3, (0, 0), entries[:2]))
        assert (replica.log.term, replica.log.last_term) == (2, 0)
        replica.replicate(_replicate_body(2, 3, (2, 1), entries[2:]))
        assert replica.log.last_term == 2

    def test_conflicting_entries_are_replaced(self):
        """Guards against logs that differ before the start of a term."""
        old_entries = [_entry(1, 'a'), _entry(2, 'lost'), _entry(2, 'lost')]
        replica = _create_replication('g2', old_entries)
        replica.log.term = 2
        new_entries = [_entry(1, 'a'), _entry(1, 'b'), _entry(3, 'c')]
        refused = replica.replicate(
            _replicate_body(3, 2, (2, 1), new_entries[2:])
        )
        assert refused == {'matches': False, 'received': 1}
        done = replica.replicate(
            _replicate_body(3, 2, (1, 1), new_entries[1:])
        )

        assert done == {'matches': True, 'received': 3}
        assert [entry.encode() for entry in replica.log.entries] == [
            entry.encode() for entry in new_entries
        ]

    def test_late_message_does_not_shorten_the_log(self):
        """Guards against truncation by a delayed duplicate message."""
        replica = _create_replication('g2')
        entries = [_entry(1, number) for number in range(3)]
        replica.replicate(_replicate_body(1, 0, (0, 0), entries))
        late = replica.replicate(_replicate_body(1, 0, (0, 0), entries[:1]))

        assert late == {'matches': True, 'received': 1}
        assert (len(replica.log), replica.applied) == (3, 3)

    def test_majority_is_limited_to_the_verified_entries(self):
        """Guards against reporting unverified entries as replicated."""
        replica = _create_replication(
            'g2', [_entry(1, number) for number in range(5)]
        )
        replica.replicate(_replicate_body(1, 0, (2, 1), [], majority=4))

        assert replica.majority == 2

    def test_message_of_a_fenced_term_is_refused(self):
        """Guards against a replaced primary that still gets a majority."""
        replica = _create_replication('g2')
        replica.fence(2)
        with pytest.raises(replication.Refused) as info:
            replica.replicate(_replicate_body(1, 0, (0, 0), [_entry(1, 1)]))

        assert info.value.kind == 'wrong_term'
        assert len(replica.log) == 0


class TestPrimary:
    @pytest.mark.parametrize(('held', 'majority'), [(2, 0), (3, 3)])
    def test_older_entries_need_the_start_of_the_term(self, held, majority):
        """Guards against acknowledging entries that may be truncated later."""

        async def run():
            paths = []

            async def member(conn, req):
                paths.append(req.path)
                return webserver.Answer(
                    200, {'matches': True, 'received': held}
                )

            listener = await asyncio.get_running_loop().create_server(
                lambda: webserver.Connection(member, set()), '127.0.0.1', 0
            )
            port = listener.sockets[0].getsockname()[1]
            entries = [_entry(1, number) for number in range(3)]
            primary = _create_replication('g1', entries)
            unreachable = '127.0.0.1:1'
            members = {
                'g1': unreachable,
                'g2': f'127.0.0.1:{port}',
                'g3': unreachable,
            }
            primary.promote(2, 3, members)
            async with asyncio.timeout(5):
                while len(paths) < 3:
                    await asyncio.sleep(0.01)
            primary.fence(3)
            listener.close()
            return primary.majority

        assert asyncio.run(run()) == majority
