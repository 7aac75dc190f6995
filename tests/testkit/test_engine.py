"""Tests of the SQL engine of the stand-in."""

import pytest

from sassafrasridge_testkit import engine


def _sql(text, *params):
    return engine.Statement(text, list(params))


@pytest.fixture
def db():
    result = engine.Engine()
    result.apply([_sql('CREATE TABLE t (a)')], None)
    result.begin_writing()
    return result


class TestEngine:
    def test_open_transaction_is_invisible_to_reads(self, db):
        """Guards against dirty reads."""
        db.begin()
        db.run([_sql('INSERT INTO t VALUES (1)')])
        rows = db.read([_sql('SELECT * FROM t')])[0]['rows']
        inside = db.run([_sql('SELECT * FROM t')], read_only=True)[0]['rows']

        assert (rows, inside) == ([], [(1,)])

    def test_change_in_a_read_is_refused(self, db):
        """Guards against a write that bypasses the log by read access."""
        with pytest.raises(engine.ReadOnlyViolation):
            db.read([_sql('INSERT INTO t VALUES (1)')])

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
    def test_statement_outside_the_model_is_refused(self, db, text):
        """Guards against statements that replicas can't repeat alike."""
        db.begin()
        with pytest.raises(engine.StatementFailed):
            db.run([_sql(text)])

    def test_answer_over_the_limit_is_not_stored(self):
        """Guards against a table of request ids that grows without bound."""
        results = [{'columns': ['a'], 'rows': [['x' * 50]]}]

        assert engine.encode_answer(results, 20) is None
        text = engine.encode_answer(results, 200)
        assert engine.decode_answer(text) == results
