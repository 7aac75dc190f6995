"""Session tokens: the log position a session has seen of each group."""

from collections.abc import Mapping
import hashlib
import json

from sassafrasridge_core import errors
from sassafrasridge_core import model

# Longest time that a token is accepted after its issue.
TOKEN_TTL_S = 86_400.0
MAX_TOKEN_CHARS = 4096
# Mixed into the signing key, so that a signature made with the same secret for
# another purpose is not valid here.
_SALT = b'sassafrasridge.session.1'
# Exclusive limit of terms and indexes.
_POSITION_LIMIT = 1 << 63


class TokenSigner:
    """Sign and verify session tokens.

    The time of issue is part of the signed payload, because this package
    reads no clock. ``now`` is in seconds since the epoch, the only clock
    that processes on different VMs share.

    >>> signer = TokenSigner(b'secret')
    >>> token = signer.dump({'g': model.Position(2, 7)}, now=1000.0)
    >>> signer.load(token, now=1001.0)
    {'g': Position(2, 7)}
    """

    def __init__(self, secret: bytes, ttl_s: float = TOKEN_TTL_S) -> None:
        # Processes that serve sessions of the users' platform sign no tokens
        # and start sooner without this import.
        import itsdangerous
        from itsdangerous import encoding

        self._encoding = encoding
        self._bad_data = itsdangerous.BadData
        self._signer = itsdangerous.Signer(
            secret,
            salt=_SALT,
            key_derivation='hmac',
            digest_method=hashlib.sha256,
        )
        self._ttl_s = ttl_s

    def dump(self, positions: Mapping[str, model.Position], now: float) -> str:
        """Return a signed token that holds the position of each group."""
        groups = {
            group: (position.term, position.index)
            for group, position in positions.items()
        }
        payload = json.dumps([int(now), groups], separators=(',', ':'))
        encoded = self._encoding.base64_encode(payload)
        return self._signer.sign(encoded).decode('ascii')

    def load(self, token: str, now: float) -> dict[str, model.Position]:
        """Return the positions by group that a valid token contains.

        Raises BadRequestError of kind session_forged if the signature or the
        content is invalid, and session_expired if the token is too old.
        """
        if len(token) > MAX_TOKEN_CHARS or not token.isascii():
            raise _forged_token_error()
        try:
            payload = self._signer.unsign(token)
            issued_at, groups = json.loads(
                self._encoding.base64_decode(payload)
            )
            positions = {
                group: _checked_position(*pair)
                for group, pair in groups.items()
            }
        except (
            self._bad_data,
            ValueError,
            TypeError,
            AttributeError,
        ):
            raise _forged_token_error() from None
        if now - issued_at > self._ttl_s:
            raise errors.BadRequestError(
                f'the session token is over {self._ttl_s / 3600:g} hours old',
                kind='session_expired',
                remedy='Begin a new session without a token.',
            )
        return positions


def _checked_position(term: object, index: object) -> model.Position:
    for number in (term, index):
        if type(number) is not int or not 0 <= number < _POSITION_LIMIT:
            raise ValueError('not a log position')
    assert isinstance(term, int)  # noqa: S101
    assert isinstance(index, int)  # noqa: S101
    return model.Position(term, index)


def _forged_token_error() -> errors.BadRequestError:
    return errors.BadRequestError(
        'the session token was not issued here',
        kind='session_forged',
        remedy='Send the Session-Token header as received.',
    )


def advance(
    positions: Mapping[str, model.Position], group: str, seen: model.Position
) -> dict[str, model.Position]:
    """Return a session's positions after it has read ``seen`` of ``group``.

    A position never moves back, neither within a term nor to an older term.

    >>> advance({'g': model.Position(2, 7)}, 'g', model.Position(2, 5))
    {'g': Position(2, 7)}
    """
    known = positions.get(group)
    if known is not None and known > seen:
        return dict(positions)
    return {**positions, group: seen}


def covers(
    position: model.Position,
    server_term: int,
    applied: int,
    starts: Mapping[int, int],
) -> bool:
    """Return whether a server has applied all writes up to a position.

    ``applied`` is the index that the server has applied its log to. ``starts``
    maps a term to the log index at which it began. Everything acknowledged in
    a term lies at or below the start of each later term, so a server in a
    later term needs the log of the old term only up to the lowest of these
    starts. If no start is known, the server needs the full position, which is
    never too little.

    >>> covers(model.Position(1, 90), 2, 85, {2: 80})
    True
    >>> covers(model.Position(1, 90), 2, 85, {})
    False
    """
    if applied >= position.index:
        return server_term >= position.term
    if server_term <= position.term:
        return False
    following = [t for t in starts if position.term < t <= server_term]
    return bool(following) and applied >= min(starts[t] for t in following)
