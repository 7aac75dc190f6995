"""Tests of the replication rules of the stand-in."""

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


def _server(name, entries=()):
    log = txlog.Log()
    for entry in entries:
        log.append(entry)
    return replication.Replication(
        name, 'g', log, faults.Faults(), lambda: None
    )


def _body(term, start, previous, entries, majority=0):
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
    def test_term_counts_only_with_its_whole_start(self):
        """Guards against promoting a log that lacks acknowledged writes."""
        replica = _server('g2')
        entries = [_entry(1, number) for number in range(3)]
        replica.replicate(_body(2, 3, (0, 0), entries[:2]))
        assert (replica.log.term, replica.log.last_term) == (2, 0)
        replica.replicate(_body(2, 3, (2, 1), entries[2:]))
        assert replica.log.last_term == 2

    def test_contradicting_entries_are_replaced(self):
        """Guards against logs that differ below the start of a term."""
        old = [_entry(1, 'a'), _entry(2, 'lost'), _entry(2, 'lost')]
        replica = _server('g2', old)
        replica.log.term = 2
        new = [_entry(1, 'a'), _entry(1, 'b'), _entry(3, 'c')]
        refused = replica.replicate(_body(3, 2, (2, 1), new[2:]))
        assert refused == {'matches': False, 'received': 1}
        done = replica.replicate(_body(3, 2, (1, 1), new[1:]))

        assert done == {'matches': True, 'received': 3}
        assert [entry.encode() for entry in replica.log.entries] == [
            entry.encode() for entry in new
        ]

    def test_late_message_does_not_shorten_the_log(self):
        """Guards against losing entries by a repeated message."""
        replica = _server('g2')
        entries = [_entry(1, number) for number in range(3)]
        replica.replicate(_body(1, 0, (0, 0), entries))
        late = replica.replicate(_body(1, 0, (0, 0), entries[:1]))

        assert late == {'matches': True, 'received': 1}
        assert (len(replica.log), replica.applied) == (3, 3)

    def test_majority_beyond_the_verified_log_is_not_taken(self):
        """Guards against vouching for entries that were not compared."""
        replica = _server('g2', [_entry(1, number) for number in range(5)])
        replica.replicate(_body(1, 0, (2, 1), [], majority=4))

        assert replica.majority == 2

    def test_message_of_a_fenced_term_is_refused(self):
        """Guards against a majority that a replaced primary collects."""
        replica = _server('g2')
        replica.fence(2)
        with pytest.raises(replication.Refused) as info:
            replica.replicate(_body(1, 0, (0, 0), [_entry(1, 1)]))

        assert info.value.kind == 'wrong_term'
        assert len(replica.log) == 0


class TestPrimary:
    @pytest.mark.parametrize(('held', 'majority'), [(2, 0), (3, 3)])
    def test_older_entries_count_only_with_the_term(self, held, majority):
        """Guards against acknowledging what the next change may drop."""

        async def run():
            calls = []

            async def member(conn, req):
                calls.append(req.path)
                return webserver.Answer(
                    200, {'matches': True, 'received': held}
                )

            listener = await asyncio.get_running_loop().create_server(
                lambda: webserver.Connection(member, set()), '127.0.0.1', 0
            )
            port = listener.sockets[0].getsockname()[1]
            entries = [_entry(1, number) for number in range(3)]
            primary = _server('g1', entries)
            down = '127.0.0.1:1'
            members = {'g1': down, 'g2': f'127.0.0.1:{port}', 'g3': down}
            primary.promote(2, 3, members)
            async with asyncio.timeout(5):
                while len(calls) < 3:
                    await asyncio.sleep(0.01)
            primary.fence(3)
            listener.close()
            return primary.majority

        assert asyncio.run(run()) == majority
