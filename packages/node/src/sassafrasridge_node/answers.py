"""Results for callers, and errors for answers of targets."""

import time
import typing

from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_node import backends
from sassafrasridge_node import connections
from sassafrasridge_node import entry
from sassafrasridge_node import front


class IdConflictError(errors.ConflictError):
    """Report an Idempotency-Key that came with another request."""

    kind = 'request_conflict'
    remedy = 'Use a new Idempotency-Key for a new request.'


class TransactionLostError(errors.UnavailableError):
    """Report a transaction that was rolled back."""

    kind = 'transaction_lost'
    remedy = 'Run the whole transaction again.'


def unknown(message: str) -> errors.OutcomeUnknownError:
    """Return the error of a request that may have run."""
    return errors.OutcomeUnknownError(message, retry_after_s=1.0)


def check(answer: connections.Answer) -> None:
    """Raise the error for an answer that no retry can better."""
    if answer.status == 200:
        return
    kind = answer.error_kind
    if kind == 'request_conflict':
        raise IdConflictError(
            'the Idempotency-Key was used with another request'
        )
    if kind in ('statement_failed', 'read_only'):
        raise errors.StatementError(answer.error_message or kind, kind=kind)


def retryable(answer: connections.Answer) -> bool:
    """Return whether the target ran nothing and another may run it."""
    return answer.status != 200 and answer.error_kind not in (
        'request_conflict',
        'statement_failed',
        'read_only',
    )


def done(
    state: entry.EntryState,
    group: str,
    tokens: dict[str, model.Position],
    backend: backends.Backend,
    body: dict[str, typing.Any],
) -> front.DataReply:
    """Return the result for a request that was carried out."""
    term, index = int(body['term']), int(body['position'])
    position = model.Position(term, index)
    known = tokens.get(group)
    tokens = {**tokens, group: max(known, position) if known else position}
    return front.DataReply(
        {
            'outcome': errors.Outcome.DONE.value,
            'results': body.get('results', []),
            'replayed': bool(body.get('replayed', False)),
            'served_by': {
                'server': backend.info.server,
                'role': body.get('role', ''),
                'term': term,
                'position': index,
            },
        },
        session=state.signer().dump(tokens, time.time()),
    )
