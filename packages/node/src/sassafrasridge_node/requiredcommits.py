"""The last acknowledged commit, which a replica must have to be promoted."""

from sassafrasridge_core import directory
from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_node import clocks
from sassafrasridge_node import grouporders
from sassafrasridge_node import logs


class RequiredCommits:
    """Find a position that includes the last commit a client was told of.

    Entry processes report the end of the log in the answer to each commit
    that they acknowledge. They acknowledge it only once a listed replica has
    received that end (see ``confirmations``), so requiring it costs no time
    unless that replica is lost as well. Processes of earlier builds report
    the least position of a commit and the number of commits, which are too
    low by commits on their way and by those whose answers were lost.
    """

    def __init__(self, table: leases.LeaseTable) -> None:
        self._table = table
        # Since when no replica has every acknowledged commit, by group.
        self._lacking_since: dict[str, float] = {}

    def last_known(self, view: model.GroupView) -> model.Position | None:
        """Return a position that includes the last acknowledged commit."""
        reported = self._table.acknowledged(view.group)
        start = view.starts.get(view.log_term)
        count = self._table.acknowledged_count(view.group, view.log_term)
        if start is None or not count:
            return reported
        counted = model.Position(view.log_term, start + count)
        return max(reported, counted) if reported else counted

    def required(self, view: model.GroupView) -> model.Position | None:
        """Return the commit that a replica must have, None if it is lost.

        A target that has not announced itself for as long as the directory
        lists silent ones is taken for gone, and the commits with it.
        """
        position = self.last_known(view)
        since = self._lacking_since.get(view.group)
        if since is None or position is None:
            return position
        waited_s = clocks.boottime() - since
        if waited_s <= directory.EXPIRE_AFTER_S:
            return position
        logs.log_event(
            'acknowledged_commits_given_up',
            group=view.group,
            acknowledged=model.position_text(position),
            waited_s=round(waited_s, 3),
        )
        return None

    def found_lacking(self, group: str) -> None:
        """Note that no replica that can be promoted has the commit."""
        self._lacking_since.setdefault(group, clocks.boottime())

    def change_finished(self, group: str) -> None:
        """Forget what a change of a group's primary found."""
        self._lacking_since.pop(group, None)


def follow_log(
    view: model.GroupView, primary: grouporders.ServerStatus
) -> model.GroupView:
    """Return a view with the term that its next primary leads in its log.

    The start of the term is known only if no entry process has used the
    target in it. A record of an earlier build doesn't tell whether the primary
    led its term before.
    """
    if primary.term <= view.log_term:
        return view
    starts = {}
    if view.log_term or primary.server != view.primary:
        starts = {primary.term: primary.received.index}
    return view.replace(log_term=primary.term, starts=starts)
