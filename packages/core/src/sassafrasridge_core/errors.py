"""Exceptions that are reported to callers and operators."""

import enum


class Outcome(enum.Enum):
    """Tell whether a request was executed."""

    DONE = 'done'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class RidgeError(Exception):
    """Serve as the base class of errors shown to callers and operators.

    ``kind`` identifies the error in responses, ``status`` is the HTTP status
    and ``exit_code`` the exit code of the command line. ``remedy`` tells the
    reader what to do, ``outcome`` whether the request was executed, and
    ``retry_after_s`` when to retry, in seconds, or None.
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
        """Return the JSON body of the HTTP error response."""
        return {
            'error': {
                'kind': self.kind,
                'outcome': self.outcome.value,
                'message': self.message,
                'remedy': self.remedy,
            }
        }


class BadRequestError(RidgeError):
    """Report a malformed request."""

    kind = 'bad_request'
    status = 400
    exit_code = 2
    remedy = 'Correct the request and send it again.'


class UnauthorizedError(RidgeError):
    """Report a key that is missing, unknown or withdrawn."""

    kind = 'unauthorized'
    status = 401
    exit_code = 3
    remedy = 'Send a valid key in the Authorization header.'


class ForbiddenError(RidgeError):
    """Report a client account that may not use the service."""

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
    """Report a request that conflicts with an earlier one."""

    kind = 'conflict'
    status = 409
    exit_code = 4
    remedy = 'Use a new number or id.'


class TooLargeError(RidgeError):
    """Report a request body above the size limit."""

    kind = 'too_large'
    status = 413
    exit_code = 2
    remedy = 'Send a smaller body.'


class RateLimitedError(RidgeError):
    """Report a client account that exceeds its rate and burst limits."""

    kind = 'rate_limited'
    status = 429
    exit_code = 5
    remedy = 'Send again after the time in Retry-After.'


class UnavailableError(RidgeError):
    """Report a request that can't be served now and was not executed."""

    kind = 'unavailable'
    status = 503
    exit_code = 5
    remedy = 'Send again after the time in Retry-After.'


class StatementError(RidgeError):
    """Report a statement that the target rejected and rolled back."""

    kind = 'statement_failed'
    status = 400
    exit_code = 2
    remedy = 'Correct the statement.'


class OutcomeUnknownError(RidgeError):
    """Report a request that may or may not have been executed."""

    kind = 'outcome_unknown'
    status = 504
    exit_code = 6
    outcome = Outcome.UNKNOWN
    remedy = 'Send again with the same Idempotency-Key to learn the outcome.'


class SettingsError(RidgeError):
    """Report all mistakes in a settings file."""

    kind = 'settings'
    exit_code = 2
    remedy = 'Correct the listed settings.'


class StorageError(RidgeError):
    """Report corrupt or unusable files in the data folder."""

    kind = 'storage'
    exit_code = 7
    remedy = (
        'Replace this member: move the data folder away and run '
        "'sassafrasridge member replace'."
    )


class LostLeadershipError(RidgeError):
    """Report a change whose outcome is unknown to this member."""

    kind = 'leader_changed'
    status = 503
    outcome = Outcome.UNKNOWN
    remedy = 'Send the same note again; its number makes that safe.'


def unknown_outcome_error() -> LostLeadershipError:
    """Return the error for a change whose outcome is unknown."""
    return LostLeadershipError(
        'leadership changed before the command was applied'
    )
