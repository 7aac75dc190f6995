"""End of transactions on targets that must no longer be used."""

import collections
import collections.abc

from sassafrasridge_node import logs
from sassafrasridge_node import sessionstate
from sassafrasridge_node import sessiontransactions

DRAINED_REASON = 'the availability zone of the target is drained'
NO_CONFIGURATION_REASON = 'this entry process has no valid configuration'


def abort_transactions(
    state: sessionstate.SessionEntryState,
    sessions: collections.abc.Iterable[sessiontransactions.TransactionSession],
    now: float,
) -> None:
    """Abort the transactions on targets of drained zones when it is due.

    Without a valid configuration this process can't learn of an order, so
    every transaction is aborted. A commit that was sent gets its answer.
    """
    config_valid = state.config_valid()
    if config_valid and not state.drains:
        return
    aborted: collections.Counter[tuple[str, str]] = collections.Counter()
    for session in list(sessions):
        tx = session.transaction
        if tx is None or tx.conn is None or tx.backend is None:
            continue
        zone = tx.backend.info.zone
        due = not config_valid or state.drains.abort_due(now, zone)
        if not due or tx.committing or tx.abort_reason:
            continue
        reason = DRAINED_REASON if config_valid else NO_CONFIGURATION_REASON
        session.abort(reason)
        aborted[zone, reason] += 1
        if config_valid:
            state.metrics.drained_transactions.inc()
    for (zone, reason), count in aborted.items():
        logs.log_event(
            'transactions_aborted', zone=zone, count=count, reason=reason
        )
