"""Statements of a session that another entry process runs."""

from sassafrasridge_core import statements
from sassafrasridge_node import clocks
from sassafrasridge_node import regionrules
from sassafrasridge_node import sessionbase
from sassafrasridge_node import sessionrelay
from sassafrasridge_node import sessionrouting

StatementKind = statements.StatementKind
StatementFailure = statements.StatementFailure
Result = statements.Result


class RelayingSession(sessionbase.SessionBase):
    """Relay the statements of a session to another entry process."""

    def _relay_request(
        self, op: sessionbase.Operation
    ) -> sessionrelay.RelayedStatement:
        prepared = op.prepared
        return sessionrelay.RelayedStatement(
            self.database,
            self._digest,
            op.stmt,
            self._values,
            prepared and (prepared.text, prepared.writes),
            self.own_writes,
            self.own_writes.position(op.access.group),
            waited_s=clocks.boottime() - op.started,
        )

    def _relay_candidates(
        self, access: sessionrouting.Access, needs_primary: bool
    ) -> list[str]:
        try:
            return self._service.relays.candidates(
                access.group,
                access.account,
                needs_primary
                or self._router.needs_primary(access, self.own_writes),
                access.regions,
            )
        except regionrules.OutsideRegionsError as exc:
            raise sessionbase.SessionError(
                StatementFailure.OUTSIDE_REGIONS, exc.message
            )

    async def _relay_single(self, op: sessionbase.Operation) -> Result:
        relays = self._service.relays
        _, answer = await relays.run(
            self._relay_candidates(op.access, op.writes),
            self._relay_request(op),
            op.deadline,
            StatementFailure.IN_DOUBT
            if op.writes
            else StatementFailure.FAILED,
        )
        return self._accept_relay_result(op.access.group, answer)

    async def _relay_in_transaction(
        self, op: sessionbase.Operation, tx: sessionbase.Transaction
    ) -> Result:
        relays = self._service.relays
        req = self._relay_request(op)
        entry_names = [tx.owner]
        if not tx.owner:
            tx.number = relays.new_transaction_number()
            req.begin = (
                StatementKind.BEGIN_READ
                if tx.read_only
                else StatementKind.BEGIN
            )
            entry_names = self._relay_candidates(tx.access, not tx.read_only)
        req.transaction = tx.number
        commits = op.stmt.kind is StatementKind.COMMIT
        # Before COMMIT, a transaction is lost if the process that runs it does
        # not answer, and nothing was committed.
        unanswered = StatementFailure.ABORTED
        if commits and tx.has_writes:
            unanswered = StatementFailure.IN_DOUBT
        tx.owner, answer = await relays.run(
            entry_names, req, op.deadline, unanswered
        )
        if not answer.open:
            tx.owner = ''
        if commits:
            self.transaction = None
        elif answer.result.failure is None and not answer.open:
            raise sessionbase.SessionError(
                StatementFailure.ABORTED, 'the transaction has ended'
            )
        return self._accept_relay_result(tx.access.group, answer)

    def _accept_relay_result(
        self, group: str, answer: sessionrelay.RelayedResult
    ) -> Result:
        if answer.result.failure is not None:
            raise sessionbase.SessionError(
                answer.result.failure, answer.result.detail
            )
        if answer.own_writes is not None:
            self.own_writes = answer.own_writes
        elif answer.floor is not None:
            # A process of an earlier build doesn't tell the group.
            self.own_writes.record_unattributed(group, answer.floor)
        return answer.result
