"""Commands that take availability zones out of service and back."""

import datetime
import urllib.parse

from cleo.helpers import argument

from sassafrasridge_cli import client
from sassafrasridge_cli import commands
from sassafrasridge_core import zonedrain

ZONES_PATH = '/v1/zones'
_COLUMNS = ('zone', 'drained', 'since', 'operator', 'targets')
_ZONE_ARGUMENT = argument('zone', 'Name of the availability zone.')


class _OrderCommand(commands.ServerCommand):
    arguments = [_ZONE_ARGUMENT]

    def execute_command(self) -> int:
        """Send the order and print the reply."""
        zone = zonedrain.check_zone(self.argument('zone'))
        quoted = urllib.parse.quote(zone, safe='')
        answer = self.send(f'{ZONES_PATH}/{quoted}/drain')
        if self.json_output:
            self.print_json(answer)
            return 0
        state = 'drained' if answer['drained'] else 'in service'
        again = '' if answer['changed'] else ' already'
        self.print(f'{zone} is{again} {state}')
        if answer.get('targets') == 0:
            self.print(f'No target is known in {zone}; check the name.')
        return 0

    def send(self, path: str) -> client.Body:
        """Send the order and return the reply."""
        raise NotImplementedError


class ZoneDrain(_OrderCommand):
    """Take a zone out of service."""

    name = 'zone drain'
    description = 'Send nothing more to the targets of an availability zone.'
    examples = ('sassafrasridge zone drain zone1',)

    def send(self, path: str) -> client.Body:
        """Order the drain."""
        return self.connect().post(path, {}, idempotent=True)


class ZoneRestore(_OrderCommand):
    """Take a zone back into service."""

    name = 'zone restore'
    description = 'Use the targets of a drained availability zone again.'
    examples = ('sassafrasridge zone restore zone1',)

    def send(self, path: str) -> client.Body:
        """Withdraw the order."""
        return self.connect().delete(path)


class ZoneList(commands.ServerCommand):
    """List the zones."""

    name = 'zone list'
    description = 'List the availability zones and which of them are drained.'
    examples = ('sassafrasridge zone list',)

    def execute_command(self) -> int:
        """List the zones."""
        zones = self.connect().get(ZONES_PATH)['zones']
        if self.json_output:
            self.print_json(zones)
            return 0
        rows = [
            [{**zone, 'since': _since(zone)}.get(c) for c in _COLUMNS]
            for zone in zones
        ]
        self.print_table(_COLUMNS, rows)
        return 0


def _since(zone: client.Body) -> str | None:
    ordered_at = zone.get('ordered_at')
    if not isinstance(ordered_at, int | float):
        return None
    moment = datetime.datetime.fromtimestamp(ordered_at, datetime.UTC)
    return moment.isoformat(timespec='seconds')
