"""Exceptions of the system, in one hierarchy."""

import enum


class Outcome(enum.Enum):
    """Say what became of a request."""

    DONE = 'done'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class RidgeError(Exception):
    """Base of all errors that a caller or an operator may see.

    ``status`` is the HTTP status, ``exit_code`` the exit code of the command
    line, ``retry_after_s`` a delay in seconds or None.
    """

    kind = 'internal'
    status = 500
    exit_code = 1
    outcome = Outcome.NOT_RUN
    remedy = 'Report this error with the log of the process.'

    def __init__(
        self,
        message: str,
        *,
        kind: str | None = None,
        remedy: str | None = None,
        outcome: Outcome | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after_s = retry_after_s
        if kind is not None:
            self.kind = kind
        if remedy is not None:
            self.remedy = remedy
        if outcome is not None:
            self.outcome = outcome

    def render(self) -> str:
        """Return the message and the remedy as one line.

        >>> UnknownServiceError("service 'x' does not exist").render()
        "service 'x' does not exist. Check the name of the service."
        """
        return f'{self.message.rstrip(".")}. {self.remedy}'

    def as_json(self) -> dict[str, object]:
        """Return the body of an HTTP error answer."""
        return {
            'error': {
                'kind': self.kind,
                'outcome': self.outcome.value,
                'message': self.message,
                'remedy': self.remedy,
            }
        }


class BadRequestError(RidgeError):
    """Report a request that is malformed."""

    kind = 'bad_request'
    status = 400
    exit_code = 2
    remedy = 'Correct the request and send it again.'


class UnauthorizedError(RidgeError):
    """Report a missing, unknown or withdrawn key."""

    kind = 'unauthorized'
    status = 401
    exit_code = 3
    remedy = 'Send a valid key in the Authorization header.'


class ForbiddenError(RidgeError):
    """Report a client account without access to the service."""

    kind = 'forbidden'
    status = 403
    exit_code = 3
    remedy = 'Ask an operator to grant the client account this service.'


class UnknownServiceError(RidgeError):
    """Report a service or route that does not exist."""

    kind = 'unknown_service'
    status = 404
    exit_code = 2
    remedy = 'Check the name of the service.'


class UnknownTransactionError(RidgeError):
    """Report a transaction that is not open."""

    kind = 'unknown_transaction'
    status = 404
    exit_code = 2
    remedy = 'Begin a new transaction.'


class ConflictError(RidgeError):
    """Report a request that contradicts an earlier one."""

    kind = 'conflict'
    status = 409
    exit_code = 4
    remedy = 'Use a new number or id.'


class TooLargeError(RidgeError):
    """Report a body over the limit."""

    kind = 'too_large'
    status = 413
    exit_code = 2
    remedy = 'Send a smaller body.'


class RateLimitedError(RidgeError):
    """Report a client account above its rate and burst."""

    kind = 'rate_limited'
    status = 429
    exit_code = 5
    remedy = 'Send again after the time in Retry-After.'


class UnavailableError(RidgeError):
    """Report that the request can't be served now; it was not run."""

    kind = 'unavailable'
    status = 503
    exit_code = 5
    remedy = 'Send again after the time in Retry-After.'


class StatementError(RidgeError):
    """Report a statement that the target refused; it was rolled back."""

    kind = 'statement_failed'
    status = 400
    exit_code = 2
    remedy = 'Correct the statement.'


class OutcomeUnknownError(RidgeError):
    """Report a request that may have run."""

    kind = 'outcome_unknown'
    status = 504
    exit_code = 6
    outcome = Outcome.UNKNOWN
    remedy = 'Send again with the same Idempotency-Key to learn the outcome.'


class SettingsError(RidgeError):
    """Report every mistake of a settings file."""

    kind = 'settings'
    exit_code = 2
    remedy = 'Correct the listed settings.'


class StorageError(RidgeError):
    """Report damaged or unusable files of the data folder."""

    kind = 'storage'
    exit_code = 7
    remedy = (
        'Replace this member: move the data folder away and run '
        "'sassafrasridge member replace'."
    )
