"""Last commits that entry processes acknowledged to clients, by group.

A control member learns them from renewals that it receives as the leader or
relays, and from other members. They aren't persisted.
"""

import collections.abc
import typing

import orjson

from sassafrasridge_core import errors
from sassafrasridge_core import model


class AcknowledgedCommits:
    """Hold the furthest reported commit of each group.

    ``version`` counts the changes, so that others can be sent what is new.

    >>> commits = AcknowledgedCommits()
    >>> commits.report({'g': model.Position(1, 7)})
    >>> before = commits.version
    >>> commits.report({'g': model.Position(1, 5), 'h': model.Position(1, 2)})
    >>> commits.get('g').index, list(commits.changes(before))
    (7, ['h'])
    """

    __slots__ = (
        'version',
        '_positions',
        '_versions',
        '_primaries',
        '_least_terms',
    )

    def __init__(self) -> None:
        self.version = 0
        self._positions: dict[str, model.Position] = {}
        # Version of the last change, by group; the latest one is the last.
        self._versions: dict[str, int] = {}
        self._primaries: dict[str, str | None] = {}
        # First log term of the last known change of primary, by group.
        self._least_terms: dict[str, int] = {}

    def report(
        self, positions: collections.abc.Mapping[str, model.Position]
    ) -> None:
        """Record commits, unless they are of a replaced primary."""
        for group, position in positions.items():
            known = self._positions.get(group)
            if position.term < self._least_terms.get(group, 0) or (
                known is not None and position <= known
            ):
                continue
            self.version += 1
            self._positions[group] = position
            self._versions.pop(group, None)
            self._versions[group] = self.version

    def get(self, group: str) -> model.Position | None:
        """Return the last reported commit in a group."""
        return self._positions.get(group)

    def forget(self, group: str) -> None:
        """Forget the commits of a group's former primary."""
        self._positions.pop(group, None)
        self._versions.pop(group, None)

    def follow(self, views: collections.abc.Iterable[model.GroupView]) -> None:
        """Forget the commits of primaries that committed views replace."""
        for view in views:
            known = self._primaries.get(view.group, view.primary)
            self._primaries[view.group] = view.primary
            if known == view.primary:
                continue
            self._least_terms[view.group] = view.log_term
            position = self._positions.get(view.group)
            # Commits of the new primary may be known before its view.
            if position is not None and position.term < view.log_term:
                self.forget(view.group)

    def changes(self, version: int) -> dict[str, model.Position]:
        """Return what was reported after a version."""
        changed = {}
        for group in reversed(self._versions):
            if self._versions[group] <= version:
                break
            changed[group] = self._positions[group]
        return changed


class CommitCounts:
    """Count the commits of each group's newest term that were acknowledged.

    Each holder reports how many it has acknowledged in a term. Commits of a
    holder that never reported are missing, so the counts are lower bounds.

    >>> counts = CommitCounts()
    >>> counts.report('e1#1', {'g': (2, 7)})
    >>> counts.report('e2#1', {'g': (2, 3)})
    >>> counts.report('e1#1', {'g': (1, 9)})
    >>> counts.total('g', 2), counts.total('g', 1), counts.total('h', 2)
    (10, 0, 0)
    """

    __slots__ = ('_groups',)

    def __init__(self) -> None:
        # Newest term, and counts by holder, by group.
        self._groups: dict[str, tuple[int, dict[str, int]]] = {}

    def report(
        self,
        holder: str,
        counts: collections.abc.Mapping[str, tuple[int, int]],
    ) -> None:
        """Record the terms and counts of a holder, by group."""
        for group, (term, count) in counts.items():
            newest, by_holder = self._groups.get(group, (-1, {}))
            if term < newest:
                continue
            if term > newest:
                by_holder = {}
                self._groups[group] = term, by_holder
            by_holder[holder] = max(by_holder.get(holder, 0), count)

    def total(self, group: str, term: int) -> int:
        """Return how many commits of a term were acknowledged at least."""
        newest, by_holder = self._groups.get(group, (-1, {}))
        return sum(by_holder.values()) if newest == term else 0


def encode(positions: collections.abc.Mapping[str, model.Position]) -> bytes:
    """Return the encoded positions, the inverse of :func:`decode`."""
    return orjson.dumps(
        {group: (at.term, at.index) for group, at in positions.items()}
    )


def decode(data: bytes) -> dict[str, model.Position]:
    """Return the positions in ``data``; raise BadRequestError."""
    try:
        return {
            group: model.Position(*map(_checked_number, position))
            for group, position in orjson.loads(data).items()
        }
    except (ValueError, TypeError, AttributeError) as exc:
        raise errors.BadRequestError(f'the commits are malformed: {exc}')


def _checked_number(value: typing.Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError(f'{value!r} is not a number of a term or commit')
    return value
