"""End of client sessions during a planned stop of an entry process."""

import asyncio
import collections.abc

from sassafrasridge_node import clocks
from sassafrasridge_node import extension
from sassafrasridge_node import logs
from sassafrasridge_node import sessionfront

# Interval of the checks for open transactions and sessions.
POLL_INTERVAL_S = 0.02
# Fraction of the drain time-out after which open transactions are rolled back.
TRANSACTION_SHARE = 0.5
# Fraction of the drain time-out after which connections are closed. In the
# rest the process releases its lease and ends.
CLOSE_SHARE = 0.9


async def wait_while(
    condition: collections.abc.Callable[[], object], deadline: float
) -> None:
    """Wait until a condition is false or the deadline has passed."""
    while condition():
        remaining_s = deadline - clocks.boottime()
        if remaining_s <= 0:
            return
        await asyncio.sleep(min(POLL_INTERVAL_S, remaining_s))


async def finish_sessions(
    service: sessionfront.SessionService,
    server: extension.SessionServer,
    started: float,
    timeout_s: float,
) -> None:
    """Close idle sessions, roll back transactions, then close the rest.

    ``timeout_s`` counts from ``started``, the time at which the stop was
    requested. Statements in progress get most of it, because a target that
    works on one will answer.
    """
    server.close_idle()
    await wait_while(
        service.has_open_transactions, started + timeout_s * TRANSACTION_SHARE
    )
    service.abort_idle_transactions()
    server.close_idle()
    await wait_while(
        lambda: service.sessions, started + timeout_s * CLOSE_SHARE
    )
    logs.log_event(
        'sessions_ended',
        left=len(service.sessions),
        busy=sum(session.busy for session in service.sessions),
        seconds=round(clocks.boottime() - started, 3),
    )
    server.close_all()
