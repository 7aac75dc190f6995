"""The persisted state of a member and the work that its caller must do."""

import dataclasses

from sassafrasridge_core import errors
from sassafrasridge_core import raftlog
from sassafrasridge_core import raftmembers
from sassafrasridge_core import raftmessages


class NotLeaderError(errors.UnavailableError):
    """Report a proposal to a member that is not the leader.

    ``leader`` is the name of the leader, None if unknown.
    """

    kind = 'not_leader'
    remedy = 'Send the request to the leader, or retry after an election.'

    def __init__(self, leader: str | None) -> None:
        super().__init__(f'the leader is {leader or "unknown"}')
        self.leader = leader


@dataclasses.dataclass(slots=True)
class Stored:
    """Hold the persisted state of a member.

    ``members`` is the initial membership; a snapshot or an entry of kind
    'members' overrides it.
    """

    disk_id: str = ''
    members: raftmembers.Members = dataclasses.field(default_factory=dict)
    hard_state: raftlog.HardState = raftlog.HardState()
    snapshot: raftlog.Snapshot | None = None
    entries: list[raftlog.Entry] = dataclasses.field(default_factory=list)

    @classmethod
    def empty(
        cls, members: raftmembers.Bootstrap, disk_id: str = ''
    ) -> 'Stored':
        """Return the state for the first start of a member.

        ``members`` maps the names of a new cluster to disk ids, or to None if
        not known yet; the first election then needs the votes of all members.
        It is empty for a member that joins an existing cluster.
        """
        return cls(disk_id, raftmembers.bootstrap(members))


@dataclasses.dataclass(slots=True)
class Ready:
    """List what to persist, and then what to send and to apply.

    ``truncate_from`` is the first index of the persisted entries to remove.
    ``restore`` is true if ``snapshot`` came from the leader: it replaces the
    caller's state before ``committed`` is applied.
    """

    hard_state: raftlog.HardState | None = None
    snapshot: raftlog.Snapshot | None = None
    restore: bool = False
    truncate_from: int | None = None
    entries: list[raftlog.Entry] = dataclasses.field(default_factory=list)
    messages: list[raftmessages.Message] = dataclasses.field(
        default_factory=list
    )
    committed: list[raftlog.Entry] = dataclasses.field(default_factory=list)

    def must_persist(self) -> bool:
        """Return whether there is anything to persist."""
        return bool(
            self.hard_state
            or self.snapshot
            or self.entries
            or self.truncate_from is not None
        )

    def __bool__(self) -> bool:
        return bool(self.must_persist() or self.messages or self.committed)
