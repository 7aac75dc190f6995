"""Tests of encoding and parsing the line protocol."""

import hypothesis
from hypothesis import strategies
import pytest

from sassafrasridge_core import model
from sassafrasridge_core import statements
from sassafrasridge_node import sessionpool
from sassafrasridge_platform import lines

StatementKind = statements.StatementKind
TEXTS = strategies.text(
    strategies.characters(
        exclude_characters='\r\n', exclude_categories=('Cs',)
    ),
    max_size=40,
)


class TestLineBuffer:
    @hypothesis.given(
        strategies.lists(TEXTS, min_size=1),
        strategies.lists(strategies.integers(1, 7)),
    )
    def test_lines_are_joined_from_any_chunks(self, texts, chunk_sizes):
        data = ''.join(f'{text}\r\n' for text in texts).encode()
        buffer, found = lines.LineBuffer(), []
        for size in [*chunk_sizes, len(data)]:
            found += buffer.feed(data[:size])
            data = data[size:]
        assert found == texts

    def test_message_above_the_limit_is_refused(self):
        buffer = lines.LineBuffer()
        with pytest.raises(lines.MalformedLineError):
            buffer.feed(b'x' * (lines.MAX_MESSAGE_BYTES + 1))

    def test_invalid_utf8_is_refused(self):
        with pytest.raises(lines.MalformedLineError):
            lines.LineBuffer().feed(b'\xff\r\n')


class TestStatements:
    @pytest.mark.parametrize(
        'text, kind',
        [
            ('BEGIN', StatementKind.BEGIN),
            ('BEGIN FETCH', StatementKind.BEGIN_READ),
            ('COMMIT', StatementKind.COMMIT),
            ('ROLLBACK', StatementKind.ROLLBACK),
            ('FETCH 1a4', StatementKind.READ),
            ('STORE 1a4 data with blanks', StatementKind.WRITE),
            ('SET name value', StatementKind.SET),
            ('PREPARE s1 STORE q2c', StatementKind.PREPARE),
            ('EXECUTE s1 1a4', StatementKind.EXECUTE),
            ('DEALLOCATE s1', StatementKind.DEALLOCATE),
        ],
    )
    def test_statement_kinds(self, text, kind):
        assert lines.parse_statement('7', text).kind is kind

    @pytest.mark.parametrize(
        'text',
        [
            '',
            'FETCH',
            'STORE x',
            'BEGIN STORE',
            'PREPARE s1 DROP x',
            'PAUSE 9',
        ],
    )
    def test_invalid_statements_are_refused(self, text):
        with pytest.raises(lines.MalformedLineError):
            lines.parse_statement('7', text)

    @hypothesis.given(TEXTS)
    def test_any_client_line_is_parsed_or_refused(self, line):
        """Guards against input that ends a session without an error."""
        for parse in (lines.parse_query, lines.parse_startup):
            try:
                parse(line)
            except lines.MalformedLineError:
                continue


class TestCommands:
    def test_statement_text_follows_the_position_unchanged(self):
        stmt = lines.parse_statement('5c0e', 'FETCH 1a4')
        command = sessionpool.Forward(stmt, model.Position(3, 7))
        assert lines.encode_command(command) == (
            b'QUERY 5c0e WAITLSN 3.7 FETCH 1a4\r\n'
        )

    def test_startup_without_account_has_a_placeholder(self):
        """Guards against a STARTUP message with a missing field."""
        info = model.TargetInfo('i-1', 'svc', '', '', '', 0, 0, 0, 0)
        startup = lines.encode_target_startup(info, '')
        assert startup == b'STARTUP svc - i-1\r\n'

    def test_prepared_name_is_replaced(self):
        stmt = lines.parse_statement('5c0e', 'EXECUTE s1 1a4 x y')
        command = sessionpool.Forward(stmt, None, 'p77')
        assert lines.encode_command(command) == (
            b'QUERY 5c0e EXECUTE p77 1a4 x y\r\n'
        )


class TestAnswers:
    def test_rows_signature_state_and_position(self):
        reader = lines.AnswerReader()
        assert reader.feed('DATAROW a b') is None
        assert reader.feed('COMPLETE 7.1f3') is None
        answer = reader.feed('READY T 3.9')
        assert (answer.rows, answer.signature) == (['a b'], '7.1f3')
        assert answer.state is statements.TransactionState.OPEN
        assert answer.position == model.Position(3, 9)

    def test_error_ends_a_refused_startup(self):
        """Guards against reporting a refusal as a lost connection."""
        reader = lines.AnswerReader()
        answer = reader.feed('ERROR TOOMANY i-1', startup=True)
        assert answer.result_code is statements.ResultCode.TOO_MANY_CONNECTIONS

    def test_error_does_not_leak_into_the_next_answer(self):
        reader = lines.AnswerReader()
        reader.feed('ERROR BUSY i-1')
        reader.feed('READY I -')
        reader.feed('COMPLETE x')
        answer = reader.feed('READY I -')
        assert answer.result_code is statements.ResultCode.DONE

    @hypothesis.given(TEXTS)
    def test_any_target_line_is_parsed_or_refused(self, line):
        try:
            lines.AnswerReader().feed(line)
        except lines.MalformedLineError:
            return
