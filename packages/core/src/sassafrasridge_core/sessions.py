"""Session tokens: what a session has seen of each database group."""

from collections.abc import Mapping
import hashlib
import json

import itsdangerous
from itsdangerous import encoding

from sassafrasridge_core import errors
from sassafrasridge_core import model

TOKEN_TTL_S = 86_400.0
MAX_TOKEN_CHARS = 4096
# Part of the signing key, so that no other use of the secret makes a
# signature that is valid here.
_SALT = b'sassafrasridge.session.1'
_MAX_NUMBER = 1 << 63


class TokenSigner:
    """Make and check session tokens.

    The time of issue is part of the signed payload, because this package
    reads no clock. ``now`` is in seconds since the epoch, the only clock
    that the processes of all VMs share.

    >>> signer = TokenSigner(b'secret')
    >>> text = signer.dump({'g': model.Position(2, 7)}, now=1000.0)
    >>> signer.load(text, now=1001.0)
    {'g': Position(2, 7)}
    """

    def __init__(self, secret: bytes, ttl_s: float = TOKEN_TTL_S) -> None:
        self._signer = itsdangerous.Signer(
            secret,
            salt=_SALT,
            key_derivation='hmac',
            digest_method=hashlib.sha256,
        )
        self._ttl_s = ttl_s

    def dump(self, tokens: Mapping[str, model.Position], now: float) -> str:
        """Return the token of a session that has seen these positions."""
        groups = {
            group: (position.term, position.index)
            for group, position in tokens.items()
        }
        payload = json.dumps([int(now), groups], separators=(',', ':'))
        encoded = encoding.base64_encode(payload)
        return self._signer.sign(encoded).decode('ascii')

    def load(self, text: str, now: float) -> dict[str, model.Position]:
        """Return the positions that a token proves.

        Raises BadRequestError of kind session_forged if the signature or the
        content is wrong, and session_expired if the token is too old.
        """
        if len(text) > MAX_TOKEN_CHARS or not text.isascii():
            raise _forged()
        try:
            payload = self._signer.unsign(text)
            issued, groups = json.loads(encoding.base64_decode(payload))
            positions = {
                group: _position(*pair) for group, pair in groups.items()
            }
        except (
            itsdangerous.BadData,
            ValueError,
            TypeError,
            AttributeError,
        ):
            raise _forged() from None
        if now - issued > self._ttl_s:
            raise errors.BadRequestError(
                f'the session token is over {self._ttl_s / 3600:g} hours old',
                kind='session_expired',
                remedy='Begin a new session without a token.',
            )
        return positions


def _position(term: object, index: object) -> model.Position:
    for number in (term, index):
        if type(number) is not int or not 0 <= number < _MAX_NUMBER:
            raise ValueError('not a log position')
    assert isinstance(term, int)  # noqa: S101
    assert isinstance(index, int)  # noqa: S101
    return model.Position(term, index)


def _forged() -> errors.BadRequestError:
    return errors.BadRequestError(
        'the session token was not issued here',
        kind='session_forged',
        remedy='Send the Session-Token header as received.',
    )


def advance(
    tokens: Mapping[str, model.Position], group: str, seen: model.Position
) -> dict[str, model.Position]:
    """Return the positions of a session that has also seen ``seen``.

    A session never goes back, neither within a term nor to an older one.

    >>> advance({'g': model.Position(2, 7)}, 'g', model.Position(2, 5))
    {'g': Position(2, 7)}
    """
    known = tokens.get(group)
    if known is not None and known > seen:
        return dict(tokens)
    return {**tokens, group: seen}


def covers(
    position: model.Position,
    server_term: int,
    applied: int,
    starts: Mapping[int, int],
) -> bool:
    """Return whether a server has all that a position stands for.

    ``starts`` maps each term to the log index at which it began. Everything
    acknowledged in a term lies at or below the start of every later one, so a
    server of a later term needs no more of the old term than the lowest of
    them. With an
    unknown start the full position is needed, which is never too little.

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
