"""Failure detection of primaries and choice of the next one."""

import collections.abc

from sassafrasridge_core import model

MIN_OBSERVERS = 2
"""One observer alone may be the one that is partitioned."""

NEVER_HEARD_S = 1e6
"""Age that an observer reports of what it never heard."""


class Sighting:
    """Hold what one observer knows of one target.

    Ages are in seconds at the time ``at`` of the report.
    """

    __slots__ = ('at', 'announcement_age_s', 'success_age_s', 'info', 'since')

    def __init__(
        self,
        at: float,
        announcement_age_s: float,
        success_age_s: float,
        info: model.TargetInfo,
    ) -> None:
        self.at = at
        self.announcement_age_s = announcement_age_s
        self.success_age_s = success_age_s
        self.info = info
        self.since = at

    def heard_at(self) -> float:
        """Return when this observer last heard of the target."""
        return self.at - min(self.announcement_age_s, self.success_age_s)

    def never_heard(self) -> bool:
        """Return whether this observer never heard of the target."""
        return (
            min(self.announcement_age_s, self.success_age_s) >= NEVER_HEARD_S
        )

    def silence(self, now: float) -> float:
        """Return seconds since this observer last heard of the target.

        An observer that never heard of it counts from its first report, so
        that a process that just started is no witness of a failure.
        """
        if self.never_heard():
            return now - self.since
        return now - self.heard_at()

    def follow(self, earlier: 'Sighting | None') -> None:
        """Take over the first report of an observer that heard nothing."""
        if earlier is not None and earlier.never_heard():
            self.since = earlier.since


class Detector:
    """Decide from several observers whether a target has failed."""

    __slots__ = ('_suspect_after_s', '_groups', '_watched')

    def __init__(self, suspect_after_s: float) -> None:
        self._suspect_after_s = suspect_after_s
        # Sightings by group, server and observer.
        self._groups: dict[str, dict[str, dict[str, Sighting]]] = {}
        # Groups and servers by observer.
        self._watched: dict[str, set[tuple[str, str]]] = {}

    def report(
        self, observer: str, group: str, server: str, sighting: Sighting
    ) -> None:
        """Record what an observer knows of a target."""
        servers = self._groups.setdefault(group, {})
        sightings = servers.setdefault(server, {})
        sighting.follow(sightings.get(observer))
        sightings[observer] = sighting
        self._watched.setdefault(observer, set()).add((group, server))

    def keep(
        self,
        observer: str,
        targets: collections.abc.Set[tuple[str, str]],
    ) -> None:
        """Drop what an observer reported of targets that it left out now.

        It no longer watches them: its last report would count as silence.
        """
        watched = self._watched.get(observer)
        if not watched or watched <= targets:
            return
        for group, server in watched - targets:
            self._sightings(group, server).pop(observer, None)
        watched &= targets

    def forget(self, observer: str) -> None:
        """Drop all reports of an observer."""
        self.keep(observer, frozenset())
        self._watched.pop(observer, None)

    def targets(self, group: str) -> list[model.TargetInfo]:
        """Return the latest announcement known of each target of a group."""
        return [
            max(sightings.values(), key=Sighting.heard_at).info
            for sightings in self._groups.get(group, {}).values()
            if sightings
        ]

    def groups(self) -> set[str]:
        """Return the groups that were announced."""
        return set(self._groups)

    def _sightings(self, group: str, server: str) -> dict[str, Sighting]:
        return self._groups.get(group, {}).get(server, {})

    def last_heard(self, now: float, group: str, server: str) -> float:
        """Return seconds since any observer heard of a target."""
        sightings = self._sightings(group, server)
        return min(
            (s.silence(now) for s in sightings.values()),
            default=float('inf'),
        )

    def failed(
        self, now: float, group: str, server: str, live: set[str]
    ) -> bool:
        """Return whether the live observers agree that a target failed.

        It needs a majority of the observers that know the target, at least
        two of them unless only one is alive.
        """
        sightings = self._sightings(group, server)
        known = [s for name, s in sightings.items() if name in live]
        silent = sum(s.silence(now) > self._suspect_after_s for s in known)
        enough = min(MIN_OBSERVERS, max(1, len(live)))
        return silent >= enough and silent * 2 > len(known)


class Fenced:
    """Hold a server's answer to a fence order."""

    __slots__ = ('server', 'zone', 'last_term', 'received')

    def __init__(
        self, server: str, zone: str, last_term: int, received: int
    ) -> None:
        self.server = server
        self.zone = zone
        self.last_term = last_term
        self.received = received


def choose_primary(
    view: model.GroupView,
    fenced: collections.abc.Sequence[Fenced],
    avoid: collections.abc.Container[str] = (),
    near_zone: str = '',
) -> Fenced | None:
    """Return the server to promote, or None without a fenced majority.

    Any majority holds every acknowledged write on at least one server, and
    that server has the highest (last_term, received). Servers in ``avoid``
    are taken only when no other server is as far.

    >>> view = model.GroupView('g', members={'a': '', 'b': '', 'c': ''})
    >>> choose_primary(view, [Fenced('a', 'z', 1, 5)])
    >>> two = [Fenced('a', 'z', 1, 9), Fenced('b', 'z', 2, 5)]
    >>> choose_primary(view, two).server
    'b'
    """
    members = [f for f in fenced if f.server in view.members]
    if len({f.server for f in members}) < view.majority():
        return None
    return max(
        members,
        key=lambda f: (
            f.last_term,
            f.received,
            f.server not in avoid,
            f.zone == near_zone,
            f.server,
        ),
    )
