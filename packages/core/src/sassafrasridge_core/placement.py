"""Which entry processes serve a database group or charge an account."""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence

import xxhash

SERVING_SET_SIZE = 7

TOKENS_PER_ENTRY = 1.0
"""With a smaller burst per entry process, a process can't hold a whole token
and nearly every operation would need an exchange with control."""


def serving_set(
    group: str,
    entries: Sequence[str],
    size: int = SERVING_SET_SIZE,
    zones: Mapping[str, str] | None = None,
) -> list[str]:
    """Return the entry processes that serve a group, best first.

    Rendezvous hashing: the result depends only on the names, and a process
    that joins or leaves changes it only for groups that it serves. With
    ``zones`` (entry process to zone), every zone gets one place before any
    gets a second, because a zone that is partitioned from the others must
    find a member of the set within itself.

    >>> entries = [f'entry-{n}' for n in range(20)]
    >>> chosen = serving_set('orders', entries)
    >>> len(chosen), chosen == serving_set('orders', entries[::-1])
    (7, True)
    >>> serving_set('orders', ['entry-1'])
    ['entry-1']
    """
    ranked = sorted(
        set(entries), key=lambda entry: (-_score(group, entry), entry)
    )
    if zones is not None:
        ranked = _zones_first(ranked, zones)
    return ranked[:size]


def charging_entry(
    account: str, burst: float, entries: Collection[str]
) -> str | None:
    """Return the entry process that charges an account for all others.

    None: the burst suffices for every process to charge by itself.

    >>> charging_entry('acme', 30.0, ['e1', 'e2', 'e3']) is None
    True
    >>> charging_entry('acme', 2.0, ['e1', 'e2', 'e3'])
    'e3'
    """
    if burst >= TOKENS_PER_ENTRY * len(entries):
        return None
    return max(entries, key=lambda entry: (_score(account, entry), entry))


def _zones_first(ranked: list[str], zones: Mapping[str, str]) -> list[str]:
    best: dict[str, str] = {}
    for entry in ranked:
        best.setdefault(zones.get(entry, ''), entry)
    firsts = list(best.values())
    taken = set(firsts)
    return firsts + [entry for entry in ranked if entry not in taken]


def _score(group: str, entry: str) -> int:
    # The separator keeps ('a', 'bc') and ('ab', 'c') apart.
    return xxhash.xxh3_64_intdigest(f'{group}\x00{entry}'.encode())
