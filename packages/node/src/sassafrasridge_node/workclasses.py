"""Classes of statements, as the configuration defines them."""

from sassafrasridge_core import configuration
from sassafrasridge_core import scheduling
from sassafrasridge_core import state as core_state


class WorkClasses:
    """Derive the class of a statement from its route and its account.

    If all routes have the same priority, all statements have one class.
    """

    __slots__ = (
        '_config',
        '_revision',
        '_several',
        '_priorities',
        '_urgent',
        '_on_replicas',
    )

    def __init__(self, config: core_state.ConfigView) -> None:
        self._config = config
        self._revision = -1
        self._several = False
        self._priorities: set[int] = set()
        # The most urgent priority of each group with several.
        self._urgent: dict[str, int] = {}
        # Groups whose most urgent class may also run on replicas.
        self._on_replicas: set[str] = set()

    def _refresh(self) -> None:
        if self._revision == self._config.revision:
            return
        self._revision = self._config.revision
        by_group: dict[str, list[configuration.Route]] = {}
        for route in self._config.routes():
            service = self._config.service(route.service)
            if service is not None:
                by_group.setdefault(service.group, []).append(route)
        found = [r for routes in by_group.values() for r in routes]
        self._priorities = {route.priority for route in found}
        self._several = len(self._priorities) > 1
        self._urgent = {}
        self._on_replicas = set()
        for group, routes in by_group.items():
            urgent = _most_urgent(routes)
            if urgent is None:
                continue
            self._urgent[group] = urgent
            if any(
                route.priority == urgent
                and route.consistency != configuration.PRIMARY
                for route in routes
            ):
                self._on_replicas.add(group)

    def work_class(
        self, account: str, route: configuration.Route
    ) -> scheduling.WorkClass:
        """Return the class of an account's statements on a route."""
        self._refresh()
        if not self._several:
            return scheduling.UNIFORM.work_class
        found = self._config.account(account)
        return scheduling.WorkClass(
            route.priority, found.priority if found is not None else 0
        )

    def rank(self, priority: int) -> int:
        """Return the number of priorities that are more urgent."""
        self._refresh()
        return sum(other < priority for other in self._priorities)

    def work(
        self,
        account: str,
        route: configuration.Route,
        group: str,
        started: float,
        run_s: float,
        in_transaction: bool,
        needs_primary: bool,
    ) -> scheduling.Work:
        """Return the description of a statement for the queues."""
        work_class = self.work_class(account, route)
        if not self._several:
            return scheduling.Work(run_s=run_s, needs_primary=needs_primary)
        return scheduling.Work(
            work_class,
            started + route.objective_s,
            run_s,
            in_transaction,
            self._urgent.get(group) == route.priority,
            needs_primary,
        )

    def reserves(self, group: str, is_primary: bool) -> bool:
        """Return whether a target keeps a part for the most urgent class."""
        self._refresh()
        return group in self._urgent and (
            is_primary or group in self._on_replicas
        )


def _most_urgent(routes: list[configuration.Route]) -> int | None:
    return scheduling.most_urgent([route.priority for route in routes])
