"""A simulated group of targets, its entry processes and its control leader.

All of it runs in virtual time. The control leader is the real reconciler with
its lease table, directory and failure detector; the rest is simulated.
"""

import asyncio
import itertools

from sassafrasridge_core import acknowledged
from sassafrasridge_core import directory
from sassafrasridge_core import errors
from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_core import promotion
from sassafrasridge_node import failover
from sassafrasridge_node import grouporders
from sassafrasridge_node import groups
from sassafrasridge_node import metrics

GROUP = 'g'
# Time of one message between two processes.
NETWORK_DELAY_S = 0.005
# Time after which an order to a target counts as unanswered.
ORDER_TIMEOUT_S = 0.5
# Time after which a call of the platform counts as unanswered.
PROMOTE_TIMEOUT_S = 1.5
# Time from the handling of a promotion call until the target leads.
USUAL_EFFECT_DELAY_S = 0.6
ANNOUNCE_INTERVAL_S = 1.0
# Interval at which a leader passes reports of commits on to other members.
HEARTBEAT_INTERVAL_S = 0.1
# Time after which a former primary that reaches its successor follows it.
FOLLOW_SUCCESSOR_AFTER_S = 1.0
# Replication delays, of which each target has another one every second, so
# that a target which holds all commits now is behind others later.
LAGS_S = (0.01, 0.25, 0.03)
SUSPECT_AFTER_S = 0.8
# Interval at which an entry process asks replicas for a commit, the time after
# which it gives up if none answers, and the time-out of a write.
ASK_INTERVAL_S = 0.05
UNANSWERED_AFTER_S = 0.6
WRITE_TIMEOUT_S = 1.0
NEVER_S = promotion.NEVER_HEARD_S
TIMES = leases.LeaseTimes()
# Events on single statements, which are too many for a report.
UNRECORDED_EVENTS = (
    'statement_failed',
    'statement_moved',
    'decisions_left_out',
)


class Commit:
    """Represent one commit in a log, and who was told of it."""

    def __init__(self, term, index):
        self.position = model.Position(term, index)
        # Holder of the lease under which it was acknowledged, and when.
        self.holder = None
        self.acknowledged_at = None
        # Listed replica that had confirmed it by then, if any.
        self.confirmed_by = None
        # Leaders that were told that it was acknowledged.
        self.reported_to = set()

    def __repr__(self):
        return f'{self.position.term}.{self.position.index}'

    def is_in(self, log):
        """Return whether a log holds this commit."""
        index = self.position.index
        return len(log) >= index and log[index - 1] is self


class Target:
    """Represent a server of the group."""

    def __init__(self, name, address, zone, log, born):
        self.name, self.address, self.zone = name, address, zone
        self.log, self.born = log, born
        self.primary = False
        self.term = 1
        self.held_term = 0
        self.running = True
        self.leaving = False
        self.sequence = 0
        self.extra_lag_s = 0.0
        self.stopped_at = 0.0
        # Writes that wait until another target has received them.
        self.waiting = []
        # Answers to writes are lost until then, all but each third one.
        self.loses_answers_until = 0.0
        self.answers = 0

    def lag_s(self, now):
        turn = ord(self.name[0]) + int(now)
        return self.extra_lag_s + LAGS_S[turn % len(LAGS_S)]

    @property
    def received(self):
        return self.log[-1].position

    def loses_answer(self, now):
        """Return whether the next answer to a write is lost."""
        self.answers += 1
        return now < self.loses_answers_until and self.answers % 3 > 0

    def status(self):
        return grouporders.ServerStatus(
            self.name, self.primary, self.term, self.held_term, self.received
        )


class Holder:
    """Represent one incarnation of an entry process."""

    def __init__(self, name, number):
        self.entry, self.name = name, f'{name}#{number}'
        self.cut_off_at = float('inf')


class PromotionCall:
    """Represent a call that may still take effect.

    It names a target, so it has no effect once no process will have that name.

    ``unlisted`` are the targets that its leader didn't know, and
    ``primary_silent`` tells whether the former primary didn't answer it.
    """

    def __init__(self, server, unlisted, primary_silent):
        self.server = server
        self.unlisted, self.primary_silent = unlisted, primary_silent


class Links:
    """Track which pairs of processes can't reach each other until when."""

    def __init__(self, loop):
        self._loop = loop
        self._cut_until = {}

    def cut(self, one, other, seconds):
        self._cut_until[frozenset((one, other))] = self._loop.time() + seconds

    def up(self, one, other):
        until = self._cut_until.get(frozenset((one, other)), 0.0)
        return self._loop.time() >= until


class History:
    """Record events with their times, for the report of a failure."""

    def __init__(self, loop):
        self._loop = loop
        self._started_at = loop.time()
        self._lines = []
        self.violations = []

    def add(self, text):
        passed_s = self._loop.time() - self._started_at
        self._lines.append(f'{passed_s:8.3f} {text}')

    def violation(self, text):
        self.add(f'VIOLATION {text}')
        self.violations.append(text)

    def log_event(self, message_type, **fields):
        """Record an event that the product logs."""
        if message_type in UNRECORDED_EVENTS:
            return
        shown = {k: v for k, v in fields.items() if k != 'group'}
        self.add(f'control: {message_type} {shown}')
        if message_type == 'group_step_failed':
            if 'leadership' not in fields['exc']:
                self.violations.append(f'a step failed: {fields["exc"]}')

    def text(self):
        return '\n'.join(self._lines)


class ReplicatedGroup:
    """Replicate commits from primaries to replicas, and change the primary.

    ``leading`` is the target whose promotion took effect last, ``led_at`` the
    time of that.
    """

    def __init__(self, loop, links, history, count):
        self.loop, self.links, self.history = loop, links, history
        self.targets = {}
        # Servers of another group, by address.
        self.foreign = {}
        self.acknowledged = []
        self.calls_in_flight = []
        self.answer_delay_s = NETWORK_DELAY_S
        self.on_role_change = lambda target: None
        self._syncing = set()
        self._births = itertools.count(1)
        first = [Commit(1, 1)]
        for index in range(count):
            self.add(list(first), f'10.0.0.{index}:1', f'z{index % 3}')
        self.leading = self.targets['a']
        self.leading.primary = True
        self.led_at = loop.time()

    def add(self, log, address, zone):
        born = next(self._births)
        target = Target(chr(96 + born), address, zone, log, born)
        self.targets[target.name] = target
        return target

    def server_at(self, address):
        """Return the name of the server that accepts connections there."""
        for target in self.running():
            if target.address == address:
                return target.name
        return self.foreign.get(address)

    def drop_call(self, call):
        if call in self.calls_in_flight:
            self.calls_in_flight.remove(call)

    def running(self):
        return [t for t in self.targets.values() if t.running]

    def lead(self, target, call):
        """Let a promotion call take effect."""
        if not target.running or target.name not in self.targets:
            self.history.add(f'{target.name} was to lead but is not running')
            return
        if target is self.leading and target.primary:
            return
        self.leading, self.led_at = target, self.loop.time()
        target.primary, target.held_term = True, 0
        target.term = max(t.term for t in self.targets.values()) + 1
        self.history.add(f'{target.name} leads term {target.term}')
        for commit in list(self.acknowledged):
            if not commit.is_in(target.log):
                if self._may_be_lost(commit, call):
                    self.history.add(f'{commit} is lost, as documented')
                    self.acknowledged.remove(commit)
                else:
                    self._report_missing('a promotion took effect', commit)
        self.on_role_change(target)
        self.touch()

    def acknowledge(self, commit, holder, confirmed_by=None):
        """Record that a client was told of a commit."""
        commit.holder, commit.acknowledged_at = holder, self.loop.time()
        commit.confirmed_by = confirmed_by
        self.acknowledged.append(commit)
        if not commit.is_in(self.leading.log):
            self._report_missing('acknowledged at a former primary', commit)

    def _may_be_lost(self, commit, call):
        """Return whether docs/testing.md says that a commit isn't proved.

        The primary doesn't answer, only targets that the leader doesn't list
        hold the commit, and the process that acknowledged it was cut off
        within one renewal interval, before it could report the commit. The
        process could ask no listed replica, or the one that it asked ended.
        """
        others = (t for t in self.targets.values() if not t.primary)
        reported_by = commit.acknowledged_at + TIMES.renew_interval_s
        return (
            call.primary_silent
            and commit.confirmed_by not in self.targets
            and all(t in call.unlisted for t in others if commit.is_in(t.log))
            and not commit.reported_to
            and commit.holder.cut_off_at <= reported_by
        )

    def _report_missing(self, when, commit):
        leading = self.leading
        holders = [
            t.name for t in self.targets.values() if commit.is_in(t.log)
        ]
        self.history.violation(
            f'{when}: {leading.name} (term {leading.term}) lacks {commit},'
            f' which {commit.holder.name} acknowledged, {holders} hold and'
            f' {commit.reported_to or "no leader"} was told of'
        )

    def commit(self, target, write):
        """Run a write at a target that may or may not be a primary."""
        if not target.running or not target.primary:
            return
        write.commit = Commit(target.term, len(target.log) + 1)
        target.log.append(write.commit)
        target.waiting.append(write)
        self.touch()

    # Replication.

    def touch(self):
        """Let every target receive what it can after its lag."""
        for target in self.running():
            if target.name not in self._syncing:
                self._syncing.add(target.name)
                lag_s = target.lag_s(self.loop.time())
                self.loop.call_later(lag_s, self._sync, target)

    def touch_now(self, target):
        """Let a target receive at once what it can."""
        self._sync(target)

    def _sync(self, target):
        self._syncing.discard(target.name)
        if not target.running:
            return
        source = self._source(target)
        if source is None:
            return
        if target.primary:
            self.loop.call_later(
                FOLLOW_SUCCESSOR_AFTER_S, self._follow, target
            )
            return
        target.held_term = 0
        target.term = source.term
        target.log[:] = source.log
        for write in source.waiting:
            if not source.loses_answer(self.loop.time()):
                # The answer tells the end of the log, not the position.
                write.end = source.log[-1]
                self.loop.call_later(self.answer_delay_s, write.answer)
        source.waiting.clear()

    def _source(self, target):
        """Return the primary from which a target receives, if any."""
        # A primary follows only one of a later term.
        least_term = max(target.term + target.primary, target.held_term)
        return max(
            (
                t
                for t in self.running()
                if t.primary
                and t is not target
                and t.term >= least_term
                and self.links.up(t.name, target.name)
            ),
            key=lambda t: t.term,
            default=None,
        )

    def _follow(self, target):
        if target.running and target.primary and self._source(target):
            self.demote(target)

    def demote(self, target):
        target.primary = False
        target.waiting.clear()
        self.history.add(f'{target.name} is a replica')
        self.on_role_change(target)
        self.touch()

    # Starts and stops.

    def crash(self, target):
        target.running = False
        target.stopped_at = self.loop.time()
        target.waiting.clear()
        self.history.add(f'{target.name} crashes')

    def restart(self, target):
        """Start a target that crashed, with its log and not paused."""
        if target.running or target.name not in self.targets:
            return
        target.running, target.held_term = True, 0
        target.born, target.sequence = next(self._births), 0
        target.primary = target.primary and target is self.leading
        self.history.add(f'{target.name} restarts')
        self.touch()

    def end(self, target, address=None, primary=False):
        """End a target; return its successor, which waits.

        The successor has its log, and its address if no other is given. No
        other target starts under the name of the one that ended.
        """
        del self.targets[target.name]
        target.running = False
        target.waiting.clear()
        for call in list(self.calls_in_flight):
            if call.server == target.name:
                self.calls_in_flight.remove(call)
        successor = self.add(
            target.log, address or target.address, target.zone
        )
        successor.term = target.term
        successor.primary = primary and target.primary
        successor.running = False
        if self.leading is target:
            self.leading = successor
        self.history.add(f'{target.name} ends, {successor.name} follows')
        return successor

    def start_foreign(self, address):
        """Start a server of another group at an address that is free."""
        if self.server_at(address) is None:
            self.foreign[address] = f'foreign{next(self._births)}'
            self.history.add(f'{self.foreign[address]} starts at {address}')

    def join(self):
        """Start a new replica with the log of the primary."""
        number = next(self._births)
        target = self.add(
            list(self.leading.log), f'10.0.1.{number}:1', f'z{number % 3}'
        )
        target.term = self.leading.term
        self.history.add(f'{target.name} joins')
        self.touch()
        return target


class Fates:
    """Hold what happens to orders of a kind to a target for some time.

    The platform's own kind, ``promote``, has no target.
    """

    def __init__(self, loop):
        self._loop = loop
        self._fates = {}

    def set(self, kind, target, seconds, fate, delay_s):
        until = self._loop.time() + seconds
        self._fates[kind, target] = until, fate, delay_s

    def get(self, kind, target=''):
        until, *fate = self._fates.get((kind, target), (0.0, 'ok', 0.0))
        return fate if self._loop.time() < until else ('ok', 0.0)

    def any_active(self):
        """Return whether anything happens to orders of any kind."""
        now = self._loop.time()
        return any(now < until for until, *_ in self._fates.values())


class SimulatedOrders(grouporders.GroupOrders):
    """Deliver a leader's orders; each may be lost, late or unanswered.

    An order on its way arrives even if its leader has ended.
    """

    def __init__(self, group, fates, leader_name, targets):
        self.group, self.fates = group, fates
        self.leader_name, self.directory = leader_name, targets

    async def _order(self, kind, info, handle):
        fate, delay_s = self.fates.get(kind, info.server)
        loop = self.group.loop
        fut = loop.create_future()
        if kind != 'status':
            self.group.history.add(
                f'{self.leader_name}: {kind} {info.server} ({fate} {delay_s})'
            )

        def arrive():
            target = self.group.targets.get(info.server)
            if target is None or not target.running:
                return
            if not self.group.links.up('control', info.server):
                return
            handle(target)
            if kind != 'status':
                self.group.history.add(
                    f'{kind} handled: {target.name} primary={target.primary}'
                    f' held={target.held_term} at {target.log[-1]}'
                )
            if fate == 'ok':
                loop.call_later(NETWORK_DELAY_S, answer, target.status())

        def answer(status):
            if not fut.done():
                fut.set_result(status)

        if fate != 'lost':
            late_s = delay_s if fate == 'late' else 0.0
            loop.call_later(NETWORK_DELAY_S + late_s, arrive)
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                return await fut
        except TimeoutError:
            return None

    async def status(self, info):
        return await self._order('status', info, lambda target: None)

    async def find_presence(self, info):
        """Open a connection that names a target."""
        fate, delay_s = self.fates.get('connect', info.server)
        name = self.group.server_at(info.address)
        reachable = name is not None and self.group.links.up('control', name)
        if not reachable or fate == 'lost':
            await asyncio.sleep(NETWORK_DELAY_S)
            return grouporders.Presence.UNKNOWN
        await asyncio.sleep(delay_s or 2 * NETWORK_DELAY_S)
        if name == info.server:
            return grouporders.Presence.PRESENT
        return grouporders.Presence.REPLACED

    async def pause(self, info, term):
        def handle(target):
            if not target.primary and term > target.term:
                target.held_term = term

        return await self._order('pause', info, handle)

    async def resume(self, info):
        def handle(target):
            target.held_term = 0
            self.group.touch()

        return await self._order('resume', info, handle)

    async def step_down(self, info, term):
        def handle(target):
            if target.primary and target.term < term:
                self.group.demote(target)

        return await self._order('step_down', info, handle)

    async def promote(self, info, token):
        """Call the platform, which promotes a target after a while."""
        fate, delay_s = self.fates.get('promote')
        group, loop = self.group, self.group.loop
        answers = grouporders.PromotionAnswer
        group.history.add(
            f'{self.leader_name}: promote {info.server} ({fate} {delay_s})'
        )
        if fate == 'refused':
            # The platform can't be reached, or has too many calls.
            await asyncio.sleep(NETWORK_DELAY_S)
            return answers.REFUSED
        fut = loop.create_future()

        call = self._new_call(info)

        def take_effect(target):
            group.drop_call(call)
            group.lead(target, call)

        def arrive():
            target = group.targets.get(info.server)
            accepted = target is not None and target.running
            if accepted:
                effect_s = delay_s if fate == 'effect' else None
                loop.call_later(
                    effect_s or USUAL_EFFECT_DELAY_S, take_effect, target
                )
            else:
                group.drop_call(call)
            if fate in ('ok', 'effect') and not fut.done():
                fut.set_result(
                    answers.ACCEPTED if accepted else answers.REFUSED
                )

        if fate != 'lost' and info.server in group.targets:
            group.calls_in_flight.append(call)
        if fate != 'lost':
            late_s = delay_s if fate == 'late' else 0.0
            loop.call_later(NETWORK_DELAY_S + late_s, arrive)
        try:
            async with asyncio.timeout(PROMOTE_TIMEOUT_S):
                return await fut
        except TimeoutError:
            return answers.UNKNOWN

    def _new_call(self, info):
        listed, primary = self.directory.group(GROUP), self.group.leading
        stepped_down, _ = self.fates.get('step_down', primary.name)
        return PromotionCall(
            info.server,
            [t for t in self.group.targets.values() if t.name not in listed],
            not primary.running
            or not self.group.links.up('control', primary.name)
            or stepped_down != 'ok',
        )

    def close(self):
        """Do nothing: there are no connections."""


class SharedViews:
    """Hold the replicated views and their revision."""

    def __init__(self):
        self.views = {}
        self.count = 0
        self.drained = frozenset()
        # Called with each view that is committed.
        self.on_commit = lambda view: None


class LeaderStore(groups.GroupStore):
    """Commit views on behalf of one leader."""

    def __init__(self, store, on_commit):
        self.store, self.on_commit = store, on_commit
        self.in_flight = None

    def drained_zones(self):
        return self.store.drained

    def view(self, group):
        return self.store.views.get(group)

    def revision(self):
        return self.store.count

    def names(self):
        return list(self.store.views)

    async def commit(self, view):
        self.in_flight = view
        await asyncio.sleep(NETWORK_DELAY_S)
        self.apply_in_flight()

    def apply_in_flight(self):
        if self.in_flight is None:
            raise errors.UnavailableError('the leadership has ended')
        view, self.in_flight = self.in_flight, None
        self.store.views[view.group] = view
        self.store.count += 1
        self.on_commit(view)
        self.store.on_commit(view)


class Leader:
    """Run the real reconciler with the state of one leadership."""

    counters = metrics.Metrics()

    def __init__(self, control, token, elected_at):
        now = control.group.loop.time()
        self.name = f'leader {token}'
        self.zone = f'z{token % 3}'
        self.control = control
        # The successor is one of the other members.
        self.commits = acknowledged.AcknowledgedCommits()
        self.commits.follow(control.store.views.values())
        self.commits.report(control.member_commits.changes(0))
        self.table = leases.LeaseTable(TIMES, elected_at, self.commits)
        self.directory = directory.TargetDirectory(elected_at)
        self.detector = promotion.FailureDetector(SUSPECT_AFTER_S)
        self.store = LeaderStore(control.store, self._follow)
        self.renewed = set()
        control.group.history.add(f'{self.name} begins at {now}')
        self.reconciler = failover.FailoverReconciler(
            self.store,
            self.detector,
            self.table,
            self.zone,
            self.counters,
            self.directory,
            SimulatedOrders(
                control.group, control.fates, self.name, self.directory
            ),
            token,
        )
        loop = control.group.loop
        self.task = loop.create_task(self.reconciler.run())
        self.passed_version = 0
        self.heartbeat = loop.call_later(0.0, self._send_heartbeat)

    def _send_heartbeat(self):
        """Pass new reports on; they arrive even if the leadership ends."""
        loop = self.control.group.loop
        self.heartbeat = loop.call_later(
            HEARTBEAT_INTERVAL_S, self._send_heartbeat
        )
        loop.call_later(
            NETWORK_DELAY_S,
            self.control.member_commits.report,
            self.commits.changes(self.passed_version),
        )
        self.passed_version = self.commits.version

    def _follow(self, view):
        self.commits.follow([view])
        self.control.group.loop.call_later(
            NETWORK_DELAY_S, self.control.member_commits.follow, [view]
        )

    def end(self, commit_lands):
        self.task.cancel()
        self.heartbeat.cancel()
        if commit_lands and self.store.in_flight is not None:
            self.store.apply_in_flight()
        self.store.in_flight = None


class Control:
    """Keep one leader at a time; take renewals and announcements."""

    def __init__(self, group, fates):
        self.group, self.fates = group, fates
        self.store = SharedViews()
        addresses = {t.name: t.address for t in group.targets.values()}
        self.store.views[GROUP] = model.GroupView(
            GROUP, 1, 'a', addresses, log_term=1, starts={1: 1}
        )
        # What the members that don't lead know of acknowledged commits.
        self.member_commits = acknowledged.AcknowledgedCommits()
        self.member_commits.follow(self.store.views.values())
        self.leader = None
        self.entry_names = set()
        self._tokens = itertools.count(1)

    def elect(self, elected_at=None):
        if self.leader is None:
            now = self.group.loop.time()
            self.leader = Leader(
                self,
                next(self._tokens),
                now if elected_at is None else elected_at,
            )

    def end_leadership(self, commit_lands):
        if self.leader is not None:
            self.group.history.add(f'{self.leader.name} ends')
            self.leader.end(commit_lands)
            self.leader = None

    def announce(self, info, born, sequence):
        if self.leader is not None:
            self.leader.directory.announce(
                self.group.loop.time(),
                directory.Announcement(info, born, sequence),
            )

    def leave(self, server):
        if self.leader is not None:
            self.leader.directory.leave(server)

    def renew(
        self,
        entry,
        sent_at,
        sequence,
        revision,
        acknowledged,
        count,
        observations,
        heard_leader,
        received_sequence,
    ):
        """Grant a renewal; the reply takes the time of a message."""
        leader, now = self.leader, self.group.loop.time()
        if leader is None:
            return
        leader.directory.expire(now)
        for holder in leader.table.expire(now):
            leader.detector.forget(holder.name)
        name = entry.holder.name
        if count is not None:
            leader.table.report_counts(name, {GROUP: count})
        if acknowledged is not None:
            leader.table.report_acknowledged({GROUP: acknowledged})
        if not leader.table.may_grant(now, name, sequence, received_sequence):
            self.group.loop.call_later(
                NETWORK_DELAY_S, entry.refused, sequence
            )
            return
        holder = leader.table.grant(now, name, entry.name)
        holder.view_revision = revision
        for commit in self.group.acknowledged:
            if (
                commit.holder.name == name
                and commit.acknowledged_at <= sent_at
            ):
                commit.reported_to.add(leader.name)
        for server, observation in observations(now).items():
            leader.detector.report(name, GROUP, server, observation)
        if heard_leader is leader:
            leader.renewed.add(entry.name)
        if leader.renewed >= self.entry_names:
            leader.table.end_grace_period()
        self.group.loop.call_later(
            NETWORK_DELAY_S,
            entry.granted,
            sequence,
            self.store.count,
            self.store.views[GROUP],
            leader,
        )


class Write:
    """Represent one write of an entry process."""

    def __init__(self, entry):
        self.entry, self.view = entry, entry.view
        self.commit = None

    def answer(self):
        self.entry.answered(self)


class Entry:
    """Simulate an entry process: renew, send writes, acknowledge commits."""

    def __init__(self, name, group, control):
        self.name, self.group, self.control = name, group, control
        self.loop = group.loop
        self.generation = itertools.count(1)
        # Until when replies of control are lost, all or only the grants.
        self.loses_replies_until = self.loses_grants_until = 0.0
        control.entry_names.add(name)
        self.start()

    def start(self):
        self.holder = Holder(self.name, next(self.generation))
        self.running = True
        self.lease = leases.HolderLease(TIMES)
        self.sequence = self.received_sequence = 0
        self.revision = -1
        self.view = None
        self.acknowledged = None
        # Term of the last commits that were acknowledged, and their number.
        self.count = None
        self.heard_at = {}
        # Leader whose reply arrived last.
        self.heard_leader = None
        self._renew(self.holder)

    def kill(self):
        self.running = False
        self.cut_off()

    def cut_off(self):
        """Record that the process can report nothing to control."""
        self.holder.cut_off_at = min(self.holder.cut_off_at, self.loop.time())

    def _reaches_control(self):
        return self.running and self.group.links.up(self.name, 'control')

    def _renew(self, holder):
        if not self.running or holder is not self.holder:
            return
        self.loop.call_later(TIMES.renew_interval_s, self._renew, holder)
        now = self.loop.time()
        for target in self.group.running():
            if self.group.links.up(self.name, target.name):
                self.heard_at[target.name] = now
        self.sequence += 1
        self.lease.sent(now, self.sequence)
        if self._reaches_control():
            self.loop.call_later(
                NETWORK_DELAY_S,
                self.control.renew,
                self,
                now,
                self.sequence,
                self.revision,
                self.acknowledged,
                self.count,
                self._observations,
                self.heard_leader,
                self.received_sequence,
            )

    def receives(self, is_grant):
        """Return whether a reply of control arrives."""
        now = self.loop.time()
        if now < self.loses_replies_until:
            return False
        return not is_grant or now >= self.loses_grants_until

    def refused(self, sequence):
        if self._reaches_control() and self.receives(is_grant=False):
            self.received_sequence = sequence

    def _observations(self, now):
        return {
            name: promotion.TargetObservation(
                now,
                NEVER_S,
                now - self.heard_at.get(name, now - NEVER_S),
                model.TargetInfo(name, GROUP, '', '', '', 0, 0, 0, 0),
                self._refused_s(now, target),
            )
            for name, target in self.group.targets.items()
        }

    def _refused_s(self, now, target):
        return 0.0 if target.running else now - target.stopped_at

    def granted(self, sequence, revision, view, leader):
        if not self._reaches_control() or not self.receives(is_grant=True):
            return
        self.received_sequence = sequence
        self.heard_leader = leader
        if revision > self.revision:
            known, self.view = self.view, view
            self.revision = revision
            if not view.changing and known and known.primary != view.primary:
                self.acknowledged = None
        self.lease.granted(sequence)
        self.holder.cut_off_at = float('inf')

    def may_write(self):
        return (
            self.running
            and self.view is not None
            and not self.view.changing
            and self.lease.valid(self.loop.time())
        )

    def write(self):
        """Send a write to the primary of the view."""
        if not self.may_write():
            return
        target = self.group.targets.get(self.view.primary)
        if target and self.group.links.up(self.name, target.name):
            self.loop.call_later(
                NETWORK_DELAY_S, self.group.commit, target, Write(self)
            )

    def answered(self, write):
        """Acknowledge a commit once a listed replica has received it."""
        self._ask_replicas(write, self.loop.time(), False)

    def _ask_replicas(self, write, started, lacking):
        now = self.loop.time()
        if not self.may_write() or self.view.term != write.view.term:
            return
        # The end of the log may include commits that no replica has.
        answers = [
            target
            for target in self.group.running()
            if target.name in self.view.members
            and target.name != self.view.primary
            and self.group.links.up(self.name, target.name)
        ]
        confirmed_by = next(
            (t.name for t in answers if write.end.is_in(t.log)), None
        )
        lacking = lacking or bool(answers)
        if confirmed_by is not None or (
            not lacking and now >= started + UNANSWERED_AFTER_S
        ):
            self.loop.call_later(
                NETWORK_DELAY_S, self._acknowledge, write, confirmed_by
            )
        elif now < started + WRITE_TIMEOUT_S:
            self.loop.call_later(
                ASK_INTERVAL_S, self._ask_replicas, write, started, lacking
            )

    def _acknowledge(self, write, confirmed_by):
        if not self.may_write() or self.view.term != write.view.term:
            return
        position = write.commit.position
        end = write.end.position
        self.acknowledged = max(self.acknowledged or end, end)
        term, count = self.count or (position.term, 0)
        self.count = position.term, (count if term == position.term else 0) + 1
        self.group.acknowledge(write.commit, self.holder, confirmed_by)
