"""Directory of the targets that announced themselves to control.

Announcements are ordered by the target's start time and sequence number. A
late announcement from an earlier incarnation is ignored. The report that a
target has left names no incarnation, so what is known of the listed one tells
whether it can be its own.
"""

import collections.abc

from sassafrasridge_core import model

# A target is removed after this time without an announcement. It is far longer
# than the longest link outage, so that a partitioned target stays listed.
EXPIRE_AFTER_S = 15.0
# Shortest interval between two searches for silent targets.
EXPIRE_CHECK_INTERVAL_S = 1.0
# Time within which every live target has announced itself: three times the
# longest interval between announcements.
COMPLETE_AFTER_S = 4.0
# Shortest time between two announcements which show that a target that is held
# to have left still runs. Those of a process that has ended were held up on a
# link and arrive together.
RETURN_AFTER_S = 1.0


class Announcement:
    """Store a target's description of itself.

    ``born`` is the start time of its process in ms; ``sequence`` increases
    with each announcement of that process.
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


class _Departure:
    """Hold the last announcement of an incarnation before it left."""

    __slots__ = ('born', '_sequence', '_later', '_later_heard_at')

    def __init__(self, last: Announcement) -> None:
        self.born = last.born
        self._sequence = last.sequence
        # First announcement of the same incarnation since, and its time.
        self._later: Announcement | None = None
        self._later_heard_at = 0.0

    def note_announcement(self, now: float, found: Announcement) -> bool:
        """Note an announcement; return whether it shows that the target runs.

        One of a later incarnation does. One of the same may have been sent
        before it left and held up, so it takes a second one some time after.
        """
        if found.born != self.born:
            return found.born > self.born
        if found.sequence <= self._sequence:
            return False
        if self._later is None:
            self._later, self._later_heard_at = found, now
            return False
        return (
            found.sequence > self._later.sequence
            and now - self._later_heard_at >= RETURN_AFTER_S
        )


class TargetDirectory:
    """Store the newest announcement of every target.

    ``revision`` increases with every change that is published to entry
    processes. ``started_at`` is the time from which on the directory receives
    announcements.
    """

    __slots__ = (
        'revision',
        '_started_at',
        '_entries',
        '_departures',
        '_expire_from',
        '_groups',
        '_groups_revision',
    )

    def __init__(self, started_at: float, revision: int = 0) -> None:
        self.revision = revision
        self._started_at = started_at
        self._entries: dict[str, _Entry] = {}
        # Last incarnation that left, by target.
        self._departures: dict[str, _Departure] = {}
        # Earliest time at which a target can expire.
        self._expire_from = started_at + EXPIRE_AFTER_S
        # Targets by group, cached for ``_groups_revision``.
        self._groups: dict[str, dict[str, model.TargetInfo]] = {}
        self._groups_revision = -1

    def announce(self, now: float, announcement: Announcement) -> bool:
        """Record an announcement and return whether it was accepted.

        False means that it is not newer than what is known.
        """
        info = announcement.info
        departure = self._departures.get(info.server)
        if departure is not None and not departure.note_announcement(
            now, announcement
        ):
            return False
        known = self._entries.get(info.server)
        if known is not None:
            held = known.announcement
            if (announcement.born, announcement.sequence) <= (
                held.born,
                held.sequence,
            ):
                return False
        if self._superseded(announcement):
            return False
        before = (
            None
            if known is None
            else _published_fields(known.announcement.info)
        )
        self._entries[info.server] = _Entry(announcement, now)
        if departure is not None and departure.born == announcement.born:
            del self._departures[info.server]
        if before != _published_fields(info):
            self.revision += 1
        return True

    def _superseded(self, announcement: Announcement) -> bool:
        """Return whether a later target has this address; drop older ones."""
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

    def leave(self, server: str) -> bool:
        """Remove a target that reported that it has left.

        A target announces that it leaves before it does. The report of one
        that hasn't is a late one of an earlier incarnation, and is ignored.
        Returns whether a target was removed.
        """
        entry = self._entries.get(server)
        if entry is None or not entry.announcement.info.leaving:
            return False
        del self._entries[server]
        self._departures[server] = _Departure(entry.announcement)
        self.revision += 1
        return True

    def has_left(self, server: str) -> bool:
        """Return whether a target announced that it leaves, then left."""
        return server in self._departures and server not in self._entries

    def expire(
        self,
        now: float,
        answers: collections.abc.Callable[[model.TargetInfo], bool] = (
            lambda info: False
        ),
    ) -> list[str]:
        """Remove and return the targets that were silent for too long.

        ``answers`` tells whether entry processes still get answers from a
        target. One that is only cut off from control may confirm commits, so
        it stays listed.
        """
        if now <= self._expire_from:
            return []
        silent = [
            server
            for server, entry in self._entries.items()
            if now - entry.heard_at > EXPIRE_AFTER_S
            and not answers(entry.announcement.info)
        ]
        for server in silent:
            del self._entries[server]
            self.revision += 1
        oldest = min((e.heard_at for e in self._entries.values()), default=now)
        self._expire_from = max(
            oldest + EXPIRE_AFTER_S, now + EXPIRE_CHECK_INTERVAL_S
        )
        return silent

    def complete(self, now: float) -> bool:
        """Return whether every live target must be listed by now."""
        return now - self._started_at > COMPLETE_AFTER_S

    def earlier_targets_expired(self, now: float) -> bool:
        """Return whether targets of an earlier directory count as gone."""
        return now - self._started_at > EXPIRE_AFTER_S

    def heard_at(self, server: str) -> float:
        """Return when a target last announced itself, -inf if not listed."""
        entry = self._entries.get(server)
        return float('-inf') if entry is None else entry.heard_at

    def targets(self) -> collections.abc.Iterable[model.TargetInfo]:
        """Return all known targets."""
        return [e.announcement.info for e in self._entries.values()]

    def is_cold(self, server: str) -> bool | None:
        """Return whether a target is cold, None if it is not listed."""
        entry = self._entries.get(server)
        return None if entry is None else entry.announcement.info.cold_s > 0

    def cold_count(self) -> int:
        """Return how many listed targets are cold."""
        return sum(info.cold_s > 0 for info in self.targets())

    def group(self, group: str) -> dict[str, model.TargetInfo]:
        """Return a copy of a group's known targets, by server name."""
        if self._groups_revision != self.revision:
            self._groups_revision = self.revision
            self._groups = {}
            for info in self.targets():
                self._groups.setdefault(info.group, {})[info.server] = info
        return dict(self._groups.get(group, {}))


def addresses(
    targets: collections.abc.Iterable[model.TargetInfo],
) -> dict[str, str]:
    """Return the addresses of targets by server name."""
    return {info.server: info.address for info in targets}


def _published_fields(info: model.TargetInfo) -> tuple[object, ...]:
    return (
        info.group,
        info.address,
        info.zone,
        info.role,
        info.slots,
        info.leaving,
    )
