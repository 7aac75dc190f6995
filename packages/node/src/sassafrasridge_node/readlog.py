"""Log lines on the reads that follow a change of primary.

Reads depend on what this process knows of the primary's log, which a change
of primary replaces. The first reads after a change are logged with all that
decided where they went.
"""

from sassafrasridge_core import model
from sassafrasridge_core import ownwrites
from sassafrasridge_node import clocks
from sassafrasridge_node import logs
from sassafrasridge_node import sessionpool
from sassafrasridge_node import sessionstate

# Time after a change of a group's view during which its reads are logged. It
# exceeds the age of data that most routes accept.
LOGGED_AFTER_CHANGE_S = 3.0
# Limit of logged reads for each change of a group's view.
MAX_LOGGED_READS = 20


class ReadDecision:
    """Hold what decided that a read was sent to a target.

    ``floor`` is the position that the target's log must have, None if a
    primary has reported none yet. ``basis`` is one of ``metrics.READ_BASES``.
    """

    __slots__ = (
        'statement',
        'target',
        'basis',
        'floor',
        'floor_age_s',
        'view_term',
        'lease_age_s',
        'sent_at',
    )

    def __init__(
        self,
        statement: str,
        target: sessionpool.SessionBackend,
        basis: str,
        floor: model.Position | None,
        floor_age_s: float | None,
        view_term: int,
        lease_age_s: float,
        sent_at: float,
    ) -> None:
        self.statement = statement
        self.target = target
        self.basis = basis
        self.floor = floor
        self.floor_age_s = floor_age_s
        self.view_term = view_term
        self.lease_age_s = lease_age_s
        self.sent_at = sent_at


class ReadLog:
    """Log the first reads of each group after a change of its view."""

    def __init__(self, state: sessionstate.SessionEntryState) -> None:
        self._state = state
        # Time of the last change, and reads logged since, by group.
        self._logged: dict[str, tuple[float, int]] = {}

    def sending(
        self,
        statement: str,
        target: sessionpool.SessionBackend,
        floor: model.Position | None,
        own_writes: ownwrites.OwnWrites,
        as_primary: bool,
    ) -> ReadDecision | None:
        """Count a read; return what decided it if it is to be logged.

        ``own_writes`` are the writes of the session.
        """
        state, group = self._state, target.info.group
        basis = 'primary'
        if not as_primary:
            is_own = floor == own_writes.position(group)
            basis = 'session' if is_own else 'age'
        state.metrics.session_reads[basis].inc()
        now, view = clocks.boottime(), state.groups.get(group)
        if view is None or not self._is_logged(now, group):
            return None
        seen = state.timeline(group).first_seen(floor) if floor else None
        return ReadDecision(
            statement,
            target,
            basis,
            floor,
            None if seen is None else round(now - seen, 3),
            view.term,
            round(state.lease.age(now), 3),
            now,
        )

    def answered(
        self, decision: ReadDecision | None, answer: sessionpool.TargetAnswer
    ) -> None:
        """Log a read that is to be logged, together with its answer."""
        if decision is None:
            return
        info = decision.target.info
        logs.log_event(
            'read_decided',
            id=decision.statement,
            group=info.group,
            target=info.server,
            basis=decision.basis,
            floor=model.position_text(decision.floor),
            floor_age_s=decision.floor_age_s,
            view_term=decision.view_term,
            lease_age_s=decision.lease_age_s,
            seconds=round(clocks.boottime() - decision.sent_at, 4),
            result=answer.result_code.value,
            answer_position=model.position_text(answer.position),
        )

    def _is_logged(self, now: float, group: str) -> bool:
        """Return whether one more read of a group is logged."""
        changed_at = self._state.view_changed_at.get(group)
        if changed_at is None or now > changed_at + LOGGED_AFTER_CHANGE_S:
            return False
        logged_at, count = self._logged.get(group, (changed_at, 0))
        if logged_at != changed_at:
            count = 0
        if count >= MAX_LOGGED_READS:
            return False
        self._logged[group] = changed_at, count + 1
        return True
