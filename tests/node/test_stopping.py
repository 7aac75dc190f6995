"""Tests of the end of client sessions during a planned stop."""

import asyncio
import pathlib

from sassafrasridge_core import settings
from sassafrasridge_node import clocks
from sassafrasridge_node import stopping

DEPLOY = pathlib.Path(__file__).resolve().parents[2] / 'deploy'
# Time after which the platform kills a process, and the part of it in which a
# statement that a target answers must still be delivered.
KILL_AFTER_S = 6.0
ANSWERED_SHARE = 5 / 6


class Session:
    """A session whose statement or transaction ends at a given time."""

    def __init__(self, name, service, transaction=False):
        self.name = name
        self.busy = not transaction
        self.transaction = transaction
        self._service = service
        service.sessions.add(self)

    def abort(self, reason):
        self.transaction = False
        self._service.end(self, 'rolled back')


class Service:
    """Record how sessions end, by seconds since the stop was requested."""

    def __init__(self, started):
        self.sessions = set()
        self.ends = {}
        self._started = started

    def end(self, session, how):
        self.sessions.discard(session)
        self.ends[session.name] = (how, clocks.boottime() - self._started)

    def has_open_transactions(self):
        return any(session.transaction for session in self.sessions)

    def abort_idle_transactions(self):
        for session in list(self.sessions):
            if not session.busy:
                session.abort('stop')


class Server:
    def __init__(self, service):
        self._service = service

    def close_idle(self):
        """Do nothing: no session of these tests is idle."""

    def close_all(self):
        for session in list(self._service.sessions):
            self._service.end(session, 'cut')


def stop(timeout_s, notice_s, ends):
    """Stop a service after ``notice_s``; return how its sessions ended.

    ``ends`` maps names to whether a transaction is open, and the time at
    which it or the statement would end, in s after the request to stop.
    """

    async def run():
        started = clocks.boottime()
        service = Service(started)
        loop = asyncio.get_running_loop()
        for name, (transaction, at_s) in ends.items():
            session = Session(name, service, transaction)
            loop.call_later(
                at_s,
                lambda s=session: (
                    s in service.sessions and service.end(s, 'done')
                ),
            )
        await asyncio.sleep(notice_s)
        await stopping.finish_sessions(
            service, Server(service), started, timeout_s
        )
        return service.ends

    return asyncio.run(run())


class TestFinishSessions:
    def test_a_statement_that_a_target_works_on_is_answered(self):
        """Guards against connections closed before the answer arrives."""
        answered_s = 0.6 * ANSWERED_SHARE
        ends = stop(0.6, 0.1, {'statement': (False, answered_s)})
        assert ends['statement'][0] == 'done'

    def test_a_transaction_has_half_of_the_time(self):
        """Guards against a rollback in the first half of the time."""
        ends = stop(0.6, 0.1, {'early': (True, 0.28), 'late': (True, 0.5)})
        assert ends['early'][0] == 'done'
        how, seconds = ends['late']
        assert how == 'rolled back' and seconds >= 0.3

    def test_the_notice_counts(self):
        """Guards against a stop that outlasts the time until the kill."""
        ends = stop(0.6, 0.3, {'statement': (False, 5.0)})
        how, seconds = ends['statement']
        assert how == 'cut' and seconds < 0.6

    def test_a_stop_ends_as_soon_as_all_sessions_have(self):
        """Guards against stops that always take the whole time."""
        started = clocks.boottime()
        stop(5.0, 0.0, {'statement': (False, 0.05), 'tx': (True, 0.1)})
        assert clocks.boottime() - started < 1.0


class TestDeployedTimes:
    def test_they_fill_the_time_until_the_kill(self):
        """Guards against stops that end earlier than the platform asks."""
        text = (DEPLOY / 'entry.ini').read_text(encoding='utf-8')
        line = next(x for x in text.splitlines() if 'drain_timeout =' in x)
        timeout_s = settings.parse_duration(
            line.partition('=')[2].strip(), 0.1, 3600.0
        )
        assert timeout_s * stopping.TRANSACTION_SHARE >= KILL_AFTER_S / 2
        closed_s = timeout_s * stopping.CLOSE_SHARE
        assert KILL_AFTER_S * ANSWERED_SHARE < closed_s < KILL_AFTER_S
