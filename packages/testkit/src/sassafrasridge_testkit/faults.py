"""Injected faults and recorded observations of a stand-in server."""

import collections
import collections.abc
import contextlib
import time
import typing

from sassafrasridge_testkit import webserver


class Faults:
    """Store the active faults.

    ``drop_answers``, ``wrong_ids`` and ``cut_answers`` are how many of the
    next ``/execute`` answers are dropped, get a wrong id or are truncated;
    ``drop_answers`` applies only to answers to committed writes.
    ``delay_answers_ms`` delays each ``/execute`` answer.
    ``stop_replication`` is a bool or a list of member names.
    """

    __slots__ = (
        'drop_answers',
        'wrong_ids',
        'cut_answers',
        'delay_answers_ms',
        'stop_replication',
        'refuse_replication',
        'stop_applying',
        'stop_announcing',
        'record',
    )

    def __init__(self) -> None:
        self.drop_answers = 0
        self.wrong_ids = 0
        self.cut_answers = 0
        self.delay_answers_ms = 0.0
        self.stop_replication: bool | list[str] = False
        self.refuse_replication = False
        self.stop_applying = False
        self.stop_announcing = False
        self.record = False

    def change(self, changes: dict[str, typing.Any]) -> None:
        """Set faults by name; raises ValueError for an unknown name."""
        for name, value in changes.items():
            if name not in self.__slots__:
                raise ValueError(f'unknown fault {name!r}')
            setattr(self, name, value)

    def as_json(self) -> dict[str, typing.Any]:
        """Return the values of all faults by name."""
        return {name: getattr(self, name) for name in self.__slots__}

    def replication_stopped(self, member: str) -> bool:
        """Tell whether replication to a member is stopped."""
        if isinstance(self.stop_replication, bool):
            return self.stop_replication
        return member in self.stop_replication

    def consume(self, name: str) -> bool:
        """Decrement a fault counter; return False if it was already 0."""
        remaining = getattr(self, name)
        if remaining:
            setattr(self, name, remaining - 1)
        return bool(remaining)

    def apply_to_answer(self, answer: webserver.Answer) -> webserver.Answer:
        """Apply the active answer faults to an ``/execute`` answer."""
        answer.delay_s = self.delay_answers_ms / 1000
        if self.consume('wrong_ids'):
            answer.body = {**answer.body, 'id': 'id-of-another-request'}
        if self.consume('cut_answers'):
            answer.truncated = True
        return answer


class Observations:
    """Record the requests that reached the server, for checks in tests.

    ``executions`` counts the executions of each statement for callers,
    whether or not the transaction committed; ``commits`` counts the commits
    per request id. ``counts`` counts ``/execute`` calls by result: ``read``,
    ``write`` (commits), ``replayed`` or the kind of the refusal.
    ``peak_connections`` and ``peak_waiting`` (calls waiting for a slot) are
    maxima. ``watched`` counts, per watched text, the requests that contained
    it in path, headers or body.
    """

    __slots__ = (
        'headers',
        'executions',
        'commits',
        'watched',
        'counts',
        'peak_connections',
        'peak_waiting',
        'waiting',
        'last_work_at',
    )

    def __init__(self) -> None:
        self.headers: set[tuple[str, str]] = set()
        self.executions: collections.Counter[str] = collections.Counter()
        self.commits: collections.Counter[str] = collections.Counter()
        self.watched: dict[str, int] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.peak_connections = 0
        self.peak_waiting = 0
        self.waiting = 0
        self.last_work_at: float | None = None

    def watch(self, texts: list[str]) -> None:
        """Start counting the requests that contain each of these texts."""
        self.watched = {text: 0 for text in texts}

    def record_request(self, req: webserver.Request, record: bool) -> None:
        """Count watched texts in a request; store its headers if asked."""
        if record:
            self.headers.update(req.headers)
        for text in self.watched:
            if (
                text in req.path
                or any(
                    text in part for header in req.headers for part in header
                )
                or text.encode() in req.body
            ):
                self.watched[text] += 1

    @contextlib.contextmanager
    def count_waiting(self) -> collections.abc.Iterator[None]:
        """Count a call as waiting for a slot while the context is open."""
        self.waiting += 1
        self.peak_waiting = max(self.peak_waiting, self.waiting)
        try:
            yield
        finally:
            self.waiting -= 1

    def count_call(self, kind: str) -> None:
        """Count a call by result; record the time of reads and writes."""
        self.counts[kind] += 1
        if kind in ('read', 'write'):
            self.last_work_at = time.monotonic()

    def as_json(self) -> dict[str, typing.Any]:
        """Return all observations; ages in seconds."""
        age = None
        if self.last_work_at is not None:
            age = time.monotonic() - self.last_work_at
        return {
            'counts': self.counts,
            'peak_connections': self.peak_connections,
            'peak_waiting': self.peak_waiting,
            'last_work_age_s': age,
            'headers': sorted(self.headers),
            'executions': self.executions,
            'commits': self.commits,
            'watched': self.watched,
        }
