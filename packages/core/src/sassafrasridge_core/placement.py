"""Assignment of entry processes to database groups and accounts."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import xxhash

SERVING_SET_SIZE = 7
# With a smaller burst per entry process, a process could not hold a whole
# token, and nearly every operation would need an exchange with control.
MIN_TOKENS_PER_ENTRY = 1.0


def serving_set(
    group: str,
    entries: Sequence[str],
    size: int = SERVING_SET_SIZE,
    zones: Mapping[str, str] | None = None,
) -> list[str]:
    """Return the entry processes that serve a group, highest ranked first.

    The ranking uses rendezvous hashing: the result depends only on the names,
    and a process that joins or leaves changes it only for groups that it
    serves. With ``zones`` (entry process to zone), every zone gets one member
    before any gets a second one, because a zone that is partitioned from the
    others needs a member of its own.

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
        ranked = _spread_over_zones(ranked, zones)
    return ranked[:size]


def charging_entry(
    account: str, burst: float, entries: Collection[str]
) -> str | None:
    """Return the entry process that charges an account for all others.

    Return None if the burst is large enough for every process to charge the
    account itself.

    >>> charging_entry('acme', 30.0, ['e1', 'e2', 'e3']) is None
    True
    >>> charging_entry('acme', 2.0, ['e1', 'e2', 'e3'])
    'e3'
    """
    if burst >= MIN_TOKENS_PER_ENTRY * len(entries):
        return None
    return max(entries, key=lambda entry: (_score(account, entry), entry))


def account_order(account: str, entries: Iterable[str]) -> list[str]:
    """Return entry processes in the order in which an account prefers them.

    >>> account_order('acme', ['e1', 'e2', 'e3'])
    ['e3', 'e1', 'e2']
    >>> account_order('acme', ['e2', 'e1'])
    ['e1', 'e2']
    """
    return sorted(entries, key=lambda entry: (-_score(account, entry), entry))


def _spread_over_zones(
    ranked: list[str], zones: Mapping[str, str]
) -> list[str]:
    best: dict[str, str] = {}
    for entry in ranked:
        best.setdefault(zones.get(entry, ''), entry)
    firsts = list(best.values())
    taken = set(firsts)
    return firsts + [entry for entry in ranked if entry not in taken]


def _score(group: str, entry: str) -> int:
    # The separator keeps ('a', 'bc') and ('ab', 'c') apart.
    return xxhash.xxh3_64_intdigest(f'{group}\x00{entry}'.encode())
