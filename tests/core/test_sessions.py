"""Tests of session tokens and of the servers that cover a position."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_core import sessions

NOW = 1_000_000.0


class TestTokenSigner:
    def _error_kind(self, text, now=NOW, secret=b'secret'):
        with pytest.raises(errors.BadRequestError) as info:
            sessions.TokenSigner(secret).load(text, now)
        return info.value.kind

    @hypothesis.settings(max_examples=100, deadline=None)
    @hypothesis.given(
        st.dictionaries(
            st.text(min_size=1, max_size=20),
            st.builds(
                model.Position,
                st.integers(0, 2**40),
                st.integers(0, 2**62),
            ),
            max_size=5,
        )
    )
    def test_returns_what_was_signed(self, positions):
        """Guards against losing a group or a position in a token."""
        signer = sessions.TokenSigner(b'secret')
        text = signer.dump(positions, NOW)
        assert text.isascii() and ' ' not in text
        assert signer.load(text, NOW + 5) == positions

    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(st.data())
    def test_every_change_is_refused(self, data):
        """Guards against a caller that edits the position in its token."""
        text = sessions.TokenSigner(b'secret').dump(
            {'g': model.Position(3, 12)}, NOW
        )
        at = data.draw(st.integers(0, len(text) - 1))
        char = data.draw(st.characters(min_codepoint=33, max_codepoint=0x17F))
        hypothesis.assume(char != text[at])
        edited = text[:at] + char + text[at + 1 :]
        # Unused bits at the end of base64 text may change without effect. An
        # edited token that is accepted must still have the signed content.
        try:
            loaded = sessions.TokenSigner(b'secret').load(edited, NOW)
        except errors.BadRequestError as exc:
            assert exc.kind == 'session_forged'
        else:
            assert loaded == {'g': model.Position(3, 12)}

    def test_other_secret_is_refused(self):
        """Guards against tokens of another cluster."""
        text = sessions.TokenSigner(b'secret').dump({}, NOW)
        assert self._error_kind(text, secret=b'other') == 'session_forged'

    def test_old_token_is_refused(self):
        """Guards against positions whose terms are no longer known."""
        text = sessions.TokenSigner(b'secret').dump({}, NOW)
        late = NOW + sessions.TOKEN_TTL_S + 2
        assert self._error_kind(text, now=late) == 'session_expired'

    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(st.text(max_size=200))
    def test_any_text_gets_a_typed_error(self, text):
        """Guards against an exception that has no error response."""
        assert self._error_kind(text) == 'session_forged'


class TestAdvance:
    def test_older_term_does_not_replace_a_newer_one(self):
        """Guards against a late response that moves a position back."""
        positions = {'g': model.Position(2, 5)}
        advanced = sessions.advance(positions, 'g', model.Position(1, 900))
        assert advanced == positions


class _GroupMachine(stateful.RuleBasedStateMachine):
    """Model of a database group with logs as lists of writes.

    Results of ``sessions.covers`` are compared with the content of the logs: a
    server may serve a session if its applied entries contain every write that
    the session has seen.
    """

    def __init__(self):
        super().__init__()
        self.term = 1
        self.starts = {1: 0}
        self.logs = {name: [] for name in 'abc'}
        self.terms = dict.fromkeys('abc', 1)
        self.applied = dict.fromkeys('abc', 0)
        self.primary = 'a'
        self.count = 0
        self.sessions = [(model.Position(0, 0), frozenset())] * 2

    @stateful.rule(session=st.integers(0, 1), receiver=st.sampled_from('abc'))
    def write(self, session, receiver):
        """Acknowledge a write once a majority has received it."""
        if receiver == self.primary:
            return
        self.count += 1
        log = self.logs[self.primary]
        log.append(self.count)
        self.applied[self.primary] = len(log)
        self._replicate(receiver, len(log))
        seen = self.sessions[session][1] | {self.count}
        self._advance_session(
            session, model.Position(self.term, len(log)), seen
        )

    @stateful.rule(extra=st.integers(1, 3))
    def write_unreplicated(self, extra):
        """Append entries to the primary only; a promotion may discard them."""
        for _ in range(extra):
            self.count += 1
            self.logs[self.primary].append(self.count)
        self.applied[self.primary] = len(self.logs[self.primary])

    @stateful.rule(server=st.sampled_from('abc'), end=st.integers(0, 60))
    def replicate(self, server, end):
        self._replicate(server, end)

    @stateful.rule(server=st.sampled_from('abc'), step=st.integers(1, 9))
    def apply(self, server, step):
        if server != self.primary and self.terms[server] == self.term:
            self.applied[server] = min(
                len(self.logs[server]), self.applied[server] + step
            )

    @stateful.rule(lost=st.sampled_from('abc'))
    def promote(self, lost):
        """Promote the most complete server of those other than ``lost``."""
        fenced = [name for name in 'abc' if name != lost]
        best = max(fenced, key=self._log_completeness)
        self.term += 1
        self.primary = best
        self.terms[best] = self.term
        self.starts[self.term] = len(self.logs[best])
        self.applied[best] = len(self.logs[best])

    @stateful.rule(session=st.integers(0, 1), server=st.sampled_from('abc'))
    def read(self, session, server):
        """Read from a server that covers the position, which then advances."""
        if not self._covered(session, server):
            return
        applied = self.applied[server]
        contents = self.logs[server][:applied]
        seen = self.sessions[session][1]
        assert seen <= set(contents)
        position = model.Position(self.terms[server], applied)
        advanced = sessions.advance(
            {'g': self.sessions[session][0]}, 'g', position
        )
        self.sessions[session] = (advanced['g'], seen)

    @stateful.invariant()
    def covered_means_contained(self):
        """Check that covering servers have all writes.

        The primary, which has all of them, must cover every position.
        """
        for session in (0, 1):
            for server in 'abc':
                contents = self.logs[server][: self.applied[server]]
                if self._covered(session, server):
                    assert self.sessions[session][1] <= set(contents)
            assert self._covered(session, self.primary)

    def _covered(self, session, server):
        return sessions.covers(
            self.sessions[session][0],
            self.terms[server],
            self.applied[server],
            self.starts,
        )

    def _advance_session(self, session, position, seen):
        advanced = sessions.advance(
            {'g': self.sessions[session][0]}, 'g', position
        )
        self.sessions[session] = (advanced['g'], seen)

    def _log_completeness(self, name):
        return (self.terms[name], len(self.logs[name]))

    def _replicate(self, server, end):
        if server == self.primary:
            return
        if self.terms[server] < self.term:
            # Discard entries that no later primary had when it was chosen.
            starts = [
                start
                for term, start in self.starts.items()
                if term > self.terms[server]
            ]
            cut = min(starts)
            del self.logs[server][cut:]
            self.applied[server] = min(self.applied[server], cut)
            self.terms[server] = self.term
        source = self.logs[self.primary]
        length = len(self.logs[server])
        self.logs[server] += source[length : max(length, end)]


class TestCovers:
    @pytest.mark.fuzz
    def test_promotions_lose_no_write_of_a_session(self):
        """Guards against reads that miss the session's own writes (G1)."""
        stateful.run_state_machine_as_test(
            _GroupMachine,
            settings=hypothesis.settings(
                max_examples=150,
                stateful_step_count=40,
                deadline=None,
            ),
        )

    def test_older_term_never_covers(self):
        """Guards against reads from a replaced primary with a longer log."""
        assert not sessions.covers(model.Position(2, 1), 1, 99, {2: 0})

    def test_start_of_the_first_later_term_counts(self):
        """Guards against using the start of the last term; it is too high."""
        starts = {1: 0, 3: 40, 5: 70}
        assert sessions.covers(model.Position(1, 60), 5, 40, starts)
        assert not sessions.covers(model.Position(1, 60), 5, 39, starts)
