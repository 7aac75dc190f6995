"""Reads with learned target times: replicas first, the primary last."""

import collections.abc

from sassafrasridge_core import configuration
from sassafrasridge_core import freshness
from sassafrasridge_core import model
from sassafrasridge_core import statements
from sassafrasridge_node import clocks
from sassafrasridge_node import sessionpool
from sassafrasridge_node import targetload

# A read goes to the primary only if its expected delay there, multiplied by
# the factor and with the margin added, is lower than at every replica.
# Estimates vary by about a third, and a margin below the time of a statement
# would move reads to the primary whenever two meet at a replica.
PRIMARY_FACTOR = 1.5
PRIMARY_MARGIN_S = 0.03

# Shortest wait for a replica: a position that is a little behind is usually
# reached when the next entries of the log arrive.
MIN_WAIT_S = 0.02
# Longest wait before a replica is asked again. Its lag may have ended.
MAX_WAIT_S = 0.5
# Reserved after the wait for running the read on the primary, beyond its
# expected delay.
RUN_RESERVE_S = 0.1


def expected_delay_s(
    backend: sessionpool.SessionBackend,
    route: configuration.Route,
    fallback_s: float,
) -> float:
    """Return the time that a read takes at a target, without the way there.

    The learned time contains the wait for statements of other processes.
    ``fallback_s`` is the time of a statement where nothing is learned.
    """
    load = backend.load
    if load is None:
        return fallback_s
    expected_s = load.expected_s(targetload.read_kind(route.path), fallback_s)
    limit = max(1, backend.statement_limit())
    ahead = backend.in_flight + len(backend.queue)
    waiting_s = expected_s * max(0, ahead + 1 - limit) / limit
    # Statements in flight share the target's slots.
    slot_count = max(limit, backend.info.slots)
    return expected_s * (1 + min(ahead, limit) / slot_count) + waiting_s


def is_clearly_faster(primary_s: float, replica_s: float) -> bool:
    """Return whether a read should take a slot of the primary.

    >>> is_clearly_faster(0.04, 0.08), is_clearly_faster(0.04, 0.12)
    (False, True)
    """
    return primary_s * PRIMARY_FACTOR + PRIMARY_MARGIN_S < replica_s


def has_free_turn(primary: sessionpool.SessionBackend) -> bool:
    """Return whether nothing waits at the primary and a statement may run.

    Statements of other processes that wait there show in the time taken.
    """
    load = primary.load
    return (
        not len(primary.queue)
        and primary.in_flight < primary.statement_limit()
        and (load is None or not load.is_busy())
    )


def catch_up_s(
    backend: sessionpool.SessionBackend,
    timeline: freshness.PrimaryTimeline,
    floor: model.Position,
) -> float:
    """Return in how many seconds a replica probably reaches a position.

    Returns 0 if it was not behind lately.
    """
    now = clocks.boottime()
    lag_s = backend.load.lag.expected_s(now) if backend.load else 0.0
    if not lag_s:
        return 0.0
    written_at = timeline.first_seen(floor)
    return max(0.0, lag_s + (now if written_at is None else written_at) - now)


def record_read(
    backend: sessionpool.SessionBackend,
    timeline: freshness.PrimaryTimeline,
    floor: model.Position,
    sent_at: float,
    result_code: statements.ResultCode,
) -> None:
    """Learn a replica's lag from the result of a read."""
    written_at = timeline.first_seen(floor)
    if backend.load is None or written_at is None:
        return
    now = clocks.boottime()
    age_s = sent_at + backend.rtt_s / 2 - written_at
    if result_code is statements.ResultCode.DONE:
        backend.load.lag.reached(now, age_s)
    elif result_code is statements.ResultCode.BEHIND:
        backend.load.lag.behind(now, age_s)


def wait_s(
    replicas: collections.abc.Iterable[sessionpool.SessionBackend],
    timeline: freshness.PrimaryTimeline,
    floor: model.Position,
    until: float,
) -> float:
    """Return how long a read should wait for one of the replicas.

    Returns 0 if none is expected to reach the position before ``until``.
    """
    waits = [catch_up_s(r, timeline, floor) for r in replicas]
    if not waits:
        return 0.0
    shortest_s = max(MIN_WAIT_S, min(waits))
    if clocks.boottime() + shortest_s > until:
        return 0.0
    return min(shortest_s, MAX_WAIT_S)
