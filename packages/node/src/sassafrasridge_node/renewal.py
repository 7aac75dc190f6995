"""Renews the lease of an entry process, and probes targets."""

import asyncio
import itertools
import math
import typing

from sassafrasridge_core import incarnations
from sassafrasridge_core import memberchoice
from sassafrasridge_core import promotion
from sassafrasridge_node import clocks
from sassafrasridge_node import codec
from sassafrasridge_node import entry
from sassafrasridge_node import logs
from sassafrasridge_node import rpc

# Longest time between two checks for an urgent renewal.
URGENT_CHECK_INTERVAL_S = 0.05
# Requests that find an empty token bucket within this time share one renewal.
URGENT_BATCH_DELAY_S = 0.005
# Renewal interval without a valid lease, and while a primary doesn't answer or
# is being replaced, so that control and this process learn of changes sooner.
FAST_RENEW_INTERVAL_S = 0.1
# Leaves time to try another control member within a lease of 1.2 s.
RENEW_TIMEOUT_S = 0.45
# Interval of status probes to targets.
PROBE_INTERVAL_S = 0.2
# Resolution of reported ages: multiples of it compress to a few bytes.
AGE_RESOLUTION_S = 1 / 64


def _rounded_age_s(now: float, since: float) -> float:
    """Return the seconds since ``since``, rounded up and limited.

    >>> _rounded_age_s(5.001, 3.0), _rounded_age_s(5.0, float('-inf'))
    (2.015625, 1000000.0)
    """
    age = min(promotion.NEVER_HEARD_S, now - since)
    return math.ceil(age / AGE_RESOLUTION_S) * AGE_RESOLUTION_S


class LeaseRenewer:
    """Renew the lease at intervals and apply the replies of control."""

    def __init__(
        self,
        state: entry.EntryState,
        pool: rpc.ClientPool,
        members: list[str],
        incarnation: int,
        rpc_address: str,
        learn_members: bool = False,
    ) -> None:
        self._learn_members = learn_members
        self._state = state
        self._pool = pool
        self.choice = memberchoice.MemberChoice(members, state.zone)
        self._incarnation = incarnation
        self._address = rpc_address
        self._sequence = itertools.count(1)
        # Clocks of the last reply and of the last request.
        self._leader_clock: int | None = None
        self._returned_clock: int | None = None
        # Sequence of the last reply that came from a leader.
        self._received_sequence = 0
        self._wake = asyncio.Event()
        self._had_lease = False
        self._control_problem = ''
        self._sent_at = 0.0
        # Whether the last reply had only a part of the missing changes.
        self._is_behind = False
        state.renew_now = self._wake.set

    async def run(self) -> None:
        """Renew until cancelled."""
        while True:
            started = clocks.boottime()
            await self._renew_once()
            self._log_lease_change()
            await self._wait_for_next_renewal(started)

    async def _wait_for_next_renewal(self, started: float) -> None:
        """Wait until the next regular or urgent renewal is due."""
        while True:
            self._wake.clear()
            now = clocks.boottime()
            rest = started + self._next_interval_s() - now
            if rest <= 0 or self._state.shares.urgent(now):
                return
            try:
                async with asyncio.timeout(min(rest, URGENT_CHECK_INTERVAL_S)):
                    await self._wake.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(URGENT_BATCH_DELAY_S)

    def _next_interval_s(self) -> float:
        if self._is_first_reply() and not self._state.shares.ever_granted:
            return 0.0
        if self._is_behind or not self._state.lease_valid():
            return FAST_RENEW_INTERVAL_S
        now = clocks.boottime()
        for group in self._state.served_groups():
            if group not in self._state.groups:
                continue
            primary = self._state.primary(group)
            if primary is None or (
                not primary.drained
                and (primary.silent(now) or primary.refused_s(now))
            ):
                return min(FAST_RENEW_INTERVAL_S, self._regular_interval_s())
        return self._regular_interval_s()

    def _is_first_reply(self) -> bool:
        """Return whether a leader doesn't know yet that it was heard.

        A leader that has just begun divides shares and connections once all
        processes have returned its clock.
        """
        clock, returned = self._leader_clock, self._returned_clock
        return clock is not None and (
            returned is None
            or incarnations.term_of_clock(returned)
            != incarnations.term_of_clock(clock)
        )

    def _regular_interval_s(self) -> float:
        return self._state.times.renew_interval_s

    async def _renew_once(self) -> None:
        state = self._state
        req = self._build_request()
        now = self._sent_at = clocks.boottime()
        state.lease.sent(now, req.sequence)
        req.accounts = [
            codec.report_to_wire(report)
            for report in state.shares.build_reports(now, req.sequence)
        ]
        client = self._pool.get(self.choice.current)
        try:
            reply = await client.call('renew', req, timeout_s=RENEW_TIMEOUT_S)
        except (rpc.RpcError, rpc.RemoteCallError):
            reply = None
        if reply is not None and reply.leader_clock is not None:
            self._leader_clock = reply.leader_clock
        if reply is not None and reply.leader_term:
            self._received_sequence = reply.sequence
        if reply is None or not reply.granted:
            state.shares.apply_answer(
                clocks.boottime(), req.sequence, False, ()
            )
            state.metrics.renewals.labels('refused').inc()
            self._log_control_change(reply.reason if reply else 'no_answer')
            if reply is None or reply.reason == 'no_leader':
                self.choice.failed(clocks.boottime())
            return
        self._log_control_change('')
        self.choice.granted(clocks.boottime(), reply.member_zone or '')
        self._apply(reply)

    def _log_control_change(self, problem: str) -> None:
        """Log when control stops or resumes granting renewals."""
        if problem == self._control_problem:
            return
        self._control_problem = problem
        logs.log_event(
            'control_lost' if problem else 'control_regained',
            member=self.choice.current,
            reason=problem,
            lease_age_s=round(self._state.lease.age(clocks.boottime()), 3),
        )

    def _apply(self, reply: typing.Any) -> None:
        state = self._state
        state.apply_groups(reply)
        state.apply_entries(reply)
        state.apply_targets(reply)
        self._follow_members(reply.members or [])
        current = state.apply_config(reply)
        self._is_behind = not current
        state.shares.apply_answer(
            clocks.boottime(), reply.sequence, current, reply.shares or ()
        )
        if current:
            state.lease.granted(reply.sequence)
            if state.config.revision:
                state.configured.set()
            state.apply_connection_grants(reply.connections, self._sent_at)

    def _follow_members(self, members: list[str]) -> None:
        """Adopt the member addresses that the leader sent."""
        if self._learn_members and self.choice.follow(members):
            logs.log_event('control_members_learned', members=members)

    def _log_lease_change(self) -> None:
        valid = self._state.lease_valid()
        if valid != self._had_lease:
            self._had_lease = valid
            self._state.metrics.lease_valid.set(int(valid))
            logs.log_event(
                'lease_gained' if valid else 'lease_lost',
                entry=self._state.name,
            )

    def _build_request(self) -> typing.Any:
        state = self._state
        self._returned_clock = self._leader_clock
        return rpc.idl.RenewRequest(
            entry=state.name,
            incarnation=self._incarnation,
            zone=state.zone,
            address=self._address,
            revision=state.config.revision,
            view_revision=state.view_revision,
            draining=state.draining,
            observations=self._observations(),
            sequence=next(self._sequence),
            entries_revision=state.entries_revision,
            targets_revision=state.targets_revision,
            unused_s=self._unused_s(),
            acknowledged=codec.acknowledged_to_wire(
                state.acknowledged, state.commit_counts
            ),
            leader_clock=self._leader_clock,
            received_sequence=self._received_sequence,
        )

    def _unused_s(self) -> float:
        """Return this process's age, 0 if it has held shares of rates."""
        if self._state.shares.ever_granted:
            return 0.0
        return clocks.boottime() - clocks.PROCESS_STARTED_AT

    def _observations(self) -> list[typing.Any]:
        now = clocks.boottime()
        return [
            codec.observation_to_wire(
                backend.info_to_report(),
                _rounded_age_s(now, backend.announced_at),
                _rounded_age_s(now, backend.last_progress_at()),
                backend.demand(),
                backend.share.report(now),
                self._state.serves(group),
                backend.refused_s(now),
                backend.granted_rate(),
            )
            for (group, _), backend in self._state.reported_backends()
        ]

    async def release(self) -> None:
        """Release the lease at the end of a planned shutdown."""
        self._state.lease.end()
        req = rpc.idl.RenewRequest(
            entry=self._state.name,
            incarnation=self._incarnation,
            draining=True,
            accounts=[],
            observations=[],
            sequence=next(self._sequence),
            acknowledged=codec.acknowledged_to_wire(
                self._state.acknowledged, self._state.commit_counts
            ),
        )
        client = self._pool.get(self.choice.current)
        try:
            await client.call('renew', req, timeout_s=RENEW_TIMEOUT_S)
        except (rpc.RpcError, rpc.RemoteCallError):
            return


class TargetProber:
    """Request the status of targets that have not answered recently."""

    def __init__(self, state: entry.EntryState) -> None:
        self._state = state
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            now = clocks.boottime()
            for backend in self._state.backends.values():
                backend.refresh_limits(now)
            if self._state.may_probe():
                for (group, server), backend in self._state.served_backends():
                    self._start_probe(group, server, backend)
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _start_probe(
        self, group: str, server: str, backend: typing.Any
    ) -> None:
        if backend.drained:
            return
        now = clocks.boottime()
        recent = now - backend.success_at < PROBE_INTERVAL_S
        if recent and not backend.status_due:
            return
        task = asyncio.ensure_future(self._probe(group, server, backend))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(
        self, group: str, server: str, backend: typing.Any
    ) -> None:
        sent = self._state.sent_request(group, server)
        if await backend.probe():
            self._state.sample_primary(group, server, sent)
