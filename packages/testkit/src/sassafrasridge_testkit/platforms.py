"""The two reference deployments of the product and their sizes."""

import collections.abc
import contextlib
import typing

from sassafrasridge_testkit import callers
from sassafrasridge_testkit import deployments
from sassafrasridge_testkit import harness
from sassafrasridge_testkit import workload
from sassafrasridge_testkit import zones

ZONES = ('z1', 'z2', 'z3')
ENTRY_ZONES = ('z1', 'z2', 'z3', 'z1', 'z2', 'z3', 'z1')
MAX_CONNECTIONS = 30
APPLY_LAG_MS = 20.0
# Heartbeat interval of stand-in primaries. A heartbeat also carries the
# entries that a replica still lacks.
HEARTBEAT_INTERVAL_S = 0.1
SETTLE_TIMEOUT_S = 30.0
# Share of its permitted rate that a client account sends.
RATE_UTILISATION = 0.8


class Platform:
    """Sizes of a deployment; each availability zone is its own region."""

    __slots__ = (
        'name',
        'services',
        'region_delay_ms',
        'slots',
        'connect_cost_ms',
        'statement_cost_ms',
        'accounts',
    )

    def __init__(
        self,
        name: str,
        services: collections.abc.Sequence[str],
        region_delay_ms: float,
        slots: int,
        connect_cost_ms: float,
        statement_cost_ms: float,
        rates: collections.abc.Mapping[str, float],
    ) -> None:
        self.name = name
        self.services = services
        self.region_delay_ms = region_delay_ms
        self.slots = slots
        self.connect_cost_ms = connect_cost_ms
        self.statement_cost_ms = statement_cost_ms
        self.accounts = [
            workload.Account(account, rate, rate, RATE_UTILISATION * rate)
            for account, rate in rates.items()
        ]

    @property
    def settle_s(self) -> float:
        """Return the seconds after which replicas hold acknowledged writes."""
        delay_s = 2 * self.region_delay_ms / 1000
        return delay_s + APPLY_LAG_MS / 1000 + HEARTBEAT_INTERVAL_S


ACCOUNT_RATES_PER_S = {
    'large-1': 40.0,
    'large-2': 40.0,
    'medium-1': 20.0,
    'small-1': 5.0,
    'small-2': 5.0,
    'small-3': 5.0,
    'small-4': 5.0,
    'small-5': 5.0,
}
PLATFORMS = {
    'registry': Platform(
        'registry',
        ('domains', 'contacts', 'hosts'),
        region_delay_ms=20.0,
        slots=5,
        connect_cost_ms=10.0,
        statement_cost_ms=5.0,
        rates=ACCOUNT_RATES_PER_S,
    ),
    'quotes': Platform(
        'quotes',
        ('prices', 'offers', 'carts'),
        region_delay_ms=10.0,
        slots=2,
        connect_cost_ms=30.0,
        statement_cost_ms=5.0,
        rates=ACCOUNT_RATES_PER_S,
    ),
}


class RunningDeployment:
    """A running deployment with its database groups."""

    def __init__(
        self,
        kit: harness.Harness,
        platform: Platform,
        policy: str,
        seed: int,
    ) -> None:
        self.platform = platform
        self.deployment = zones.ZoneDeployment(
            kit,
            ZONES,
            ENTRY_ZONES,
            delay_ms=platform.region_delay_ms,
            seed=seed,
            policy=policy,
        ).start()
        self.network = self.deployment.network
        self.groups: dict[str, harness.DatabaseGroup] = {}
        for index, service in enumerate(platform.services):
            # Place the first primary of each service in a different zone.
            zone_order = [*ZONES[index:], *ZONES[:index]]
            self.groups[service] = self.deployment.start_group(
                f'{service}-db', zone_order, options=self._server_options()
            )
        self._configure_services()

    def _server_options(self) -> list[str]:
        platform = self.platform
        return [
            *('--slots', str(platform.slots)),
            *('--connections', str(MAX_CONNECTIONS)),
            *('--connect-cost-ms', str(platform.connect_cost_ms)),
            *('--cost-ms', str(platform.statement_cost_ms)),
            *('--apply-lag-ms', str(APPLY_LAG_MS)),
            *('--restart-role', 'replica'),
        ]

    def _configure_services(self) -> None:
        services = self.platform.services
        items = [deployments.service(n, f'{n}-db') for n in services]
        for account in self.platform.accounts:
            items += deployments.account(
                account.name,
                account.key,
                services,
                rate=account.rate,
                burst=account.burst,
            )
        self.deployment.note(added=items)
        self.deployment.wait_in_force()
        self.wait_settled()
        node = next(iter(self.deployment.entries.values()))
        for service in services:
            caller = self.deployment.caller(
                node, self.platform.accounts[0].key, service
            )
            answer = caller.statements(
                f'CREATE TABLE {workload.TABLE} (scenario TEXT, value TEXT,'
                ' session TEXT, number INTEGER)',
                f'CREATE INDEX by_session ON {workload.TABLE} (session)',
                deadline_ms=10_000,
            )
            if answer.status != 200:
                raise AssertionError(
                    f'cannot create the table of {service}: {answer}'
                )

    def wait_settled(self) -> None:
        """Wait until groups are complete and entry processes are ready."""
        for node in self.deployment.entries.values():
            self.deployment.wait_ready(node, SETTLE_TIMEOUT_S)
        harness.wait_until(
            self._groups_settled, SETTLE_TIMEOUT_S, 'settled groups'
        )
        for group in self.groups.values():
            group.wait_replicated(SETTLE_TIMEOUT_S)

    def _groups_settled(self) -> bool:
        body = self.status()
        groups = body.get('groups') or []
        if len(groups) != len(self.groups):
            return False
        for group in groups:
            targets = [
                target
                for target in body['targets']
                if target['group'] == group['group']
            ]
            roles = [target['role'] for target in targets]
            if (
                group['changing']
                or len(group['members']) != len(ZONES)
                or roles.count('primary') != 1
                or len(roles) != len(ZONES)
                or any(t['term'] != group['term'] for t in targets)
            ):
                return False
        return True

    def status(self) -> dict[str, typing.Any]:
        """Return the status from a control member, or {} if none answers."""
        for node in self.deployment.control.values():
            operator = self.deployment.operator(node)
            with contextlib.suppress(callers.NoAnswer):
                answer = operator.get('/v1/status')
                if answer.status == 200:
                    body: dict[str, typing.Any] = answer.body
                    return body
        return {}

    def primary(self, service: str) -> harness.DatabaseServer:
        """Return the current primary of a service.

        Raises AssertionError if there is none.
        """
        server = self.groups[service].primary()
        if server is None:
            raise AssertionError(f'{service} has no primary')
        return server

    def stored(self, scenario: str) -> list[str]:
        """Return all values of a scenario that the primaries store."""
        values = []
        for service in self.platform.services:
            server = self.primary(service)
            client = server.client()
            with contextlib.closing(client):
                answer = client.read(
                    server.status()['term'],
                    (
                        f'SELECT value FROM {workload.TABLE}'
                        ' WHERE scenario = ?',
                        [scenario],
                    ),
                )
                if answer.status != 200:
                    raise AssertionError(
                        f'reading {server.name} failed: {answer}'
                    )
                values += [row[0] for row in answer.rows]
        return values
