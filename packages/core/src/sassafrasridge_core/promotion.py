"""Failure detection for targets and selection of the next primary."""

import collections.abc

from sassafrasridge_core import model

# Number of observers that must report silence, unless only one is live: a
# single observer may itself be the one that is partitioned.
MIN_OBSERVERS = 2
# Time in s for which connections must have been refused. A refusal proves that
# the process has ended, so only a quick restart is waited for.
REFUSED_AFTER_S = 0.4
# Age that an observer reports for a target from which it never heard.
NEVER_HEARD_S = 1e6


class TargetObservation:
    """Store what one observer reported about one target.

    Ages are in seconds, measured at the time ``reported_at``. ``refused_s``
    is the time for which the target's host has refused connections, 0 if it
    hasn't.
    """

    __slots__ = (
        'refused_s',
        'reported_at',
        'announcement_age_s',
        'success_age_s',
        'info',
        'first_reported_at',
    )

    def __init__(
        self,
        reported_at: float,
        announcement_age_s: float,
        success_age_s: float,
        info: model.TargetInfo,
        refused_s: float = 0.0,
    ) -> None:
        self.refused_s = refused_s
        self.reported_at = reported_at
        self.announcement_age_s = announcement_age_s
        self.success_age_s = success_age_s
        self.info = info
        self.first_reported_at = reported_at

    def heard_at(self) -> float:
        """Return the time at which this observer last heard the target."""
        return self.reported_at - min(
            self.announcement_age_s, self.success_age_s
        )

    def never_heard(self) -> bool:
        """Return whether this observer has never heard the target."""
        return (
            min(self.announcement_age_s, self.success_age_s) >= NEVER_HEARD_S
        )

    def silence_s(self, now: float) -> float:
        """Return the seconds since this observer last heard the target.

        For an observer that never heard it, the time counts from the first
        report, so that a process that just started is not taken as evidence
        of a failure.
        """
        if self.never_heard():
            return now - self.first_reported_at
        return now - self.heard_at()

    def indicates_failure(self, now: float, suspect_after_s: float) -> bool:
        """Return whether this observer alone would consider it failed."""
        if self.refused_s:
            refused_s = now - self.reported_at + self.refused_s
            if refused_s > min(REFUSED_AFTER_S, suspect_after_s):
                return True
        return self.silence_s(now) > suspect_after_s

    def keep_first_report(self, earlier: 'TargetObservation | None') -> None:
        """Keep the time of the first report of an observer that heard none."""
        if earlier is not None and earlier.never_heard():
            self.first_reported_at = earlier.first_reported_at


class FailureDetector:
    """Decide from several observers' reports whether a target failed."""

    __slots__ = ('_suspect_after_s', '_groups', '_watched')

    def __init__(self, suspect_after_s: float) -> None:
        self._suspect_after_s = suspect_after_s
        # Observations by group, server and observer.
        self._groups: dict[str, dict[str, dict[str, TargetObservation]]] = {}
        # (group, server) pairs by observer.
        self._watched: dict[str, set[tuple[str, str]]] = {}

    def report(
        self,
        observer: str,
        group: str,
        server: str,
        observation: TargetObservation,
    ) -> None:
        """Record an observer's report about a target."""
        servers = self._groups.setdefault(group, {})
        observations = servers.setdefault(server, {})
        observation.keep_first_report(observations.get(observer))
        observations[observer] = observation
        self._watched.setdefault(observer, set()).add((group, server))

    def drop_unwatched(
        self,
        observer: str,
        targets: collections.abc.Set[tuple[str, str]],
    ) -> None:
        """Drop an observer's reports about all targets not in ``targets``.

        The observer no longer watches them, so its last report would be
        mistaken for silence of the target.
        """
        watched = self._watched.get(observer)
        if not watched or watched <= targets:
            return
        for group, server in watched - targets:
            self._observations(group, server).pop(observer, None)
        watched &= targets

    def forget(self, observer: str) -> None:
        """Drop all reports of an observer."""
        self.drop_unwatched(observer, frozenset())
        self._watched.pop(observer, None)

    def targets(self, group: str) -> list[model.TargetInfo]:
        """Return the latest known announcement of each target in a group."""
        return [
            max(observations.values(), key=TargetObservation.heard_at).info
            for observations in self._groups.get(group, {}).values()
            if observations
        ]

    def groups(self) -> set[str]:
        """Return the names of all reported groups."""
        return set(self._groups)

    def _observations(
        self, group: str, server: str
    ) -> dict[str, TargetObservation]:
        return self._groups.get(group, {}).get(server, {})

    def seconds_since_heard(
        self, now: float, group: str, server: str
    ) -> float:
        """Return the seconds since any observer last heard a target."""
        observations = self._observations(group, server)
        return min(
            (s.silence_s(now) for s in observations.values()),
            default=float('inf'),
        )

    def answered_within(
        self, now: float, group: str, server: str, seconds: float
    ) -> bool:
        """Return whether an observer got an answer in the last seconds."""
        return any(
            now - s.reported_at + s.success_age_s <= seconds
            for s in self._observations(group, server).values()
        )

    def failed(
        self, now: float, group: str, server: str, live: set[str]
    ) -> bool:
        """Return whether the live observers agree that a target failed.

        This requires silence or refused connections at a majority of the live
        observers that reported the target, and at two or more of them unless
        only one is live.
        """
        observations = self._observations(group, server)
        known = [s for name, s in observations.items() if name in live]
        suspecting = sum(
            s.indicates_failure(now, self._suspect_after_s) for s in known
        )
        required = min(MIN_OBSERVERS, max(1, len(live)))
        return suspecting >= required and suspecting * 2 > len(known)


class FenceReply:
    """Store a server's answer to a fence order."""

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
    fenced: collections.abc.Sequence[FenceReply],
    avoid: collections.abc.Container[str] = (),
    near_zone: str = '',
) -> FenceReply | None:
    """Return the server to promote, or None without a fenced majority.

    In any majority, at least one server has every acknowledged write, and so
    does the server with the highest (last_term, received). Servers in
    ``avoid`` are chosen only if no other server is equally advanced.

    >>> view = model.GroupView('g', members={'a': '', 'b': '', 'c': ''})
    >>> choose_primary(view, [FenceReply('a', 'z', 1, 5)])
    >>> two = [FenceReply('a', 'z', 1, 9), FenceReply('b', 'z', 2, 5)]
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
