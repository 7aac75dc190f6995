"""Choice of the control member with which an entry process renews its lease.

A member of the same availability zone relays renewals to the leader together
with those of its neighbours. The leader then handles a few batches and not a
call of each entry process, and copies of the configuration come from within
the zone. The zone of a member is known once it has answered.
"""

import collections.abc
import math

# Time in s for which a member that did not grant a renewal is not preferred.
AVOID_FAILED_S = 3.0


class MemberChoice:
    """Choose a member by zone, and another one after each failure.

    ``fallback`` holds addresses from the settings, tried when no learned
    address answers.

    >>> choice = MemberChoice(['a', 'b'], 'z2')
    >>> choice.granted(0.0, 'z1')
    >>> choice.current
    'b'
    >>> choice.granted(0.4, 'z2')
    >>> choice.current
    'b'
    """

    __slots__ = ('members', 'fallback', '_zone', '_index', '_zones', '_failed')

    def __init__(
        self, members: collections.abc.Sequence[str], zone: str
    ) -> None:
        self.members = list(members)
        self.fallback = list(members)
        self._zone = zone
        self._index = 0
        # Zones by the address of the member that reported them.
        self._zones: dict[str, str] = {}
        # Times of the last failures by address.
        self._failed: dict[str, float] = {}

    @property
    def current(self) -> str:
        """Return the address of the member to renew with."""
        return self.members[self._index]

    def failed(self, now: float) -> None:
        """Record that the current member granted nothing; take the next."""
        self._failed[self.current] = now
        self._index += 1
        if self._index >= len(self.members):
            self._index = 0
            known = dict.fromkeys([*self.members, *self.fallback])
            self.members = list(known)

    def granted(self, now: float, zone: str) -> None:
        """Record a renewal that the current member, of ``zone``, granted.

        Members whose zone is unknown are tried one after the other until one
        in this zone is found; without any, the first one is used.
        """
        self._failed.pop(self.current, None)
        if not zone:
            # A member of an earlier release doesn't report its zone.
            return
        self._zones[self.current] = zone
        if zone != self._zone:
            self._index = self._preferred_index(now)

    def _preferred_index(self, now: float) -> int:
        usable = [
            index
            for index, member in enumerate(self.members)
            if now >= self._failed.get(member, -math.inf) + AVOID_FAILED_S
        ]
        for wanted in (self._zone, None):
            for index in usable:
                if self._zones.get(self.members[index]) == wanted:
                    return index
        return usable[0] if usable else self._index

    def follow(self, members: collections.abc.Sequence[str]) -> bool:
        """Adopt the members that the leader listed; return if they changed."""
        if not members or set(members) == set(self.members):
            return False
        current = self.current
        self.members = list(members)
        self._index = 0
        if current in self.members:
            self._index = self.members.index(current)
        return True
