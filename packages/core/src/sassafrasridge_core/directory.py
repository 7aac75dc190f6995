"""The targets that announced themselves to control.

An announcement counts by its target's start time and sequence number: what an
earlier incarnation said later names nothing.
"""

import collections.abc

from sassafrasridge_core import model

EXPIRE_AFTER_S = 15.0
"""Silence after which a target is forgotten; far above the longest outage of
a link, so that a partitioned target stays known."""


COMPLETE_AFTER_S = 4.0
"""Time after which every target that is alive has announced itself: three
times the longest interval between announcements."""


class Announcement:
    """Describe what a target says of itself.

    ``born`` is the start time of its process in ms, ``sequence`` grows with
    each announcement of that process.
    """

    __slots__ = ('info', 'born', 'sequence')

    def __init__(
        self, info: model.TargetInfo, born: int, sequence: int
    ) -> None:
        self.info = info
        self.born = born
        self.sequence = sequence


class _Entry:
    __slots__ = ('announcement', 'heard_at')

    def __init__(self, announcement: Announcement, heard_at: float) -> None:
        self.announcement = announcement
        self.heard_at = heard_at


class Directory:
    """Keep the newest announcement of every target.

    ``revision`` rises with every change that entry processes must learn.
    ``started_at`` is when it began to hear of targets.
    """

    __slots__ = (
        'revision',
        '_started_at',
        '_entries',
        '_gone',
        '_expire_from',
        '_groups',
        '_groups_revision',
    )

    def __init__(self, started_at: float, revision: int = 0) -> None:
        self.revision = revision
        self._started_at = started_at
        self._entries: dict[str, _Entry] = {}
        # Start times of incarnations that left, by target.
        self._gone: dict[str, int] = {}
        # No target can have expired before.
        self._expire_from = started_at + EXPIRE_AFTER_S
        # Targets by group, as of the last change that others must learn.
        self._groups: dict[str, dict[str, model.TargetInfo]] = {}
        self._groups_revision = -1

    def announce(self, now: float, announcement: Announcement) -> bool:
        """Record an announcement; return whether it was news or repeated.

        False means that it is older than what is known.
        """
        info = announcement.info
        if announcement.born <= self._gone.get(info.server, -1):
            return False
        known = self._entries.get(info.server)
        if known is not None:
            held = known.announcement
            if (announcement.born, announcement.sequence) <= (
                held.born,
                held.sequence,
            ):
                return False
        if self._replaced(announcement):
            return False
        before = None if known is None else _visible(known.announcement.info)
        self._entries[info.server] = _Entry(announcement, now)
        if before != _visible(info):
            self.revision += 1
        return True

    def _replaced(self, announcement: Announcement) -> bool:
        """Drop others at the address, or tell that a later one is there."""
        info = announcement.info
        for server, entry in list(self._entries.items()):
            held = entry.announcement
            if server == info.server or held.info.address != info.address:
                continue
            if held.born > announcement.born:
                return True
            del self._entries[server]
            self.revision += 1
        return False

    def leave(self, server: str) -> None:
        """Forget a target that says that it is gone."""
        entry = self._entries.pop(server, None)
        if entry is not None:
            self._gone[server] = entry.announcement.born
            self.revision += 1

    def expire(self, now: float) -> list[str]:
        """Forget and return targets that were silent for long."""
        if now <= self._expire_from:
            return []
        silent = [
            server
            for server, entry in self._entries.items()
            if now - entry.heard_at > EXPIRE_AFTER_S
        ]
        for server in silent:
            del self._entries[server]
            self.revision += 1
        oldest = min((e.heard_at for e in self._entries.values()), default=now)
        self._expire_from = oldest + EXPIRE_AFTER_S
        return silent

    def complete(self, now: float) -> bool:
        """Return whether a target that is not listed is surely gone."""
        return now - self._started_at > COMPLETE_AFTER_S

    def targets(self) -> collections.abc.Iterable[model.TargetInfo]:
        """Return all known targets."""
        return [e.announcement.info for e in self._entries.values()]

    def group(self, group: str) -> dict[str, model.TargetInfo]:
        """Return the known targets of a group by name, for the caller."""
        if self._groups_revision != self.revision:
            self._groups_revision = self.revision
            self._groups = {}
            for info in self.targets():
                self._groups.setdefault(info.group, {})[info.server] = info
        return dict(self._groups.get(group, {}))


def _visible(info: model.TargetInfo) -> tuple[object, ...]:
    return (
        info.group,
        info.address,
        info.zone,
        info.role,
        info.slots,
        info.leaving,
    )
