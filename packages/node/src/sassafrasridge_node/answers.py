"""Converts answers of targets to replies and errors for callers."""

import time
import typing

from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_node import backends
from sassafrasridge_node import connections
from sassafrasridge_node import entry
from sassafrasridge_node import front


class IdConflictError(errors.ConflictError):
    """Report an Idempotency-Key already used with a different request."""

    kind = 'request_conflict'
    remedy = 'Use a new Idempotency-Key for a new request.'


class TransactionLostError(errors.UnavailableError):
    """Report a transaction that was rolled back."""

    kind = 'transaction_lost'
    remedy = 'Run the whole transaction again.'


def outcome_unknown_error(message: str) -> errors.OutcomeUnknownError:
    """Return the error for a request that may or may not have run."""
    return errors.OutcomeUnknownError(message, retry_after_s=1.0)


def raise_for_error(answer: connections.Answer) -> None:
    """Raise the matching error for an answer that a retry cannot change."""
    if answer.status == 200:
        return
    kind = answer.error_kind
    if kind == 'request_conflict':
        raise IdConflictError(
            'the Idempotency-Key was used with a different request'
        )
    if kind in ('statement_failed', 'read_only'):
        raise errors.StatementError(answer.error_message or kind, kind=kind)


def is_retryable(answer: connections.Answer) -> bool:
    """Return whether the target ran nothing and a retry may succeed."""
    return answer.status != 200 and answer.error_kind not in (
        'request_conflict',
        'statement_failed',
        'read_only',
    )


def done_reply(
    state: entry.EntryState,
    group: str,
    tokens: dict[str, model.Position],
    backend: backends.Backend,
    body: dict[str, typing.Any],
) -> front.DataReply:
    """Return the reply for a request that was executed."""
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
