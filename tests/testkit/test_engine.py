"""Tests of the SQL engine of the stand-in database server."""

import pytest

from sassafrasridge_testkit import engine


def _statement(text, *params):
    return engine.Statement(text, list(params))


@pytest.fixture
def db():
    result = engine.Engine()
    result.apply([_statement('CREATE TABLE t (a)')], None)
    result.begin_writing()
    return result


class TestEngine:
    def test_open_transaction_is_invisible_to_reads(self, db):
        """Guards against dirty reads."""
        db.begin()
        db.run([_statement('INSERT INTO t VALUES (1)')])
        visible_rows = db.read([_statement('SELECT * FROM t')])[0]['rows']
        own_rows = db.run([_statement('SELECT * FROM t')], read_only=True)[0][
            'rows'
        ]

        assert (visible_rows, own_rows) == ([], [(1,)])

    def test_change_in_a_read_is_refused(self, db):
        """Guards against a write in a read, which is not replicated."""
        with pytest.raises(engine.ReadOnlyViolation):
            db.read([_statement('INSERT INTO t VALUES (1)')])

    @pytest.mark.parametrize(
        'text',
        [
            'COMMIT',
            'SAVEPOINT a',
            'PRAGMA query_only = 0',
            "ATTACH ':memory:' AS other",
            'CREATE TEMP TABLE x (a)',
            'INSERT INTO t VALUES (random())',
            'INSERT INTO t VALUES (1); COMMIT',
            'WITH RECURSIVE c(x) AS (SELECT 1 UNION ALL SELECT x + 1 FROM c)'
            ' SELECT count(*) FROM c',
        ],
    )
    def test_unsupported_statement_is_refused(self, db, text):
        """Guards against statements that give other results on replicas."""
        db.begin()
        with pytest.raises(engine.StatementFailed):
            db.run([_statement(text)])

    def test_answer_over_the_limit_is_not_stored(self):
        """Guards against a request table that stores oversized answers."""
        results = [{'columns': ['a'], 'rows': [['x' * 50]]}]

        assert engine.encode_answer(results, 20) is None
        text = engine.encode_answer(results, 200)
        assert engine.decode_answer(text) == results
