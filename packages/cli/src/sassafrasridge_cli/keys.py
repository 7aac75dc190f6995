"""Commands that create and withdraw keys of client accounts."""

import hashlib
import secrets

from cleo.helpers import argument
from cleo.helpers import option

from sassafrasridge_cli import client
from sassafrasridge_cli import commands
from sassafrasridge_cli import notes

SECRET_BYTES = 32
ID_BYTES = 4

_NUMBER_OPTION = option(
    'number', None, 'Number of the note; default: the next free number.', False
)


class _KeyCommand(commands.ServerCommand):
    def submit_note(self, **lists: list[client.Body]) -> client.Body:
        """Submit a note with the given lists of items."""
        note: client.Body = dict(lists)
        if self.option('number') is not None:
            number = commands.parse_whole_number(
                self.option('number'), 'number'
            )
            note['number'] = number
        return notes.submit_note(self.connect(), note)


class KeyCreate(_KeyCommand):
    """Create a key for a client account."""

    name = 'key create'
    description = 'Create a key: print its secret once and submit its digest.'
    arguments = [argument('account', 'Client account of the key.')]
    options = [
        *commands.ServerCommand.options,
        option('id', None, 'Id of the key; default: generated.', flag=False),
        option(
            'item', None, 'Print the item for a note without submitting it.'
        ),
        _NUMBER_OPTION,
    ]
    examples = (
        'sassafrasridge key create shop',
        'sassafrasridge key create shop --item',
    )

    def execute_command(self) -> int:
        """Create the key."""
        account = self.argument('account')
        secret = secrets.token_urlsafe(SECRET_BYTES)
        id = self.option('id') or f'{account}-{secrets.token_hex(ID_BYTES)}'
        item = {
            'kind': 'key',
            'id': id,
            'account': account,
            'digest': hashlib.sha256(secret.encode()).hexdigest(),
        }
        body: client.Body = {'secret': secret, 'item': item}
        if not self.option('item'):
            body['note'] = self.submit_note(added=[item])
        if self.json_output:
            self.print_json(body)
            return 0
        self.print(f'secret: {secret}')
        self.print('Store the secret now; it is not shown again.')
        if 'note' in body:
            number = body['note']['number']
            self.print(f'note {number} added key {id}')
        else:
            self.print('item for the "added" list of a note:')
            self.print_json(item)
        return 0


class KeyWithdraw(_KeyCommand):
    """Withdraw a key."""

    name = 'key withdraw'
    description = "Withdraw a key; its id and secret can't be used again."
    arguments = [argument('id', 'Id of the key.')]
    options = [*commands.ServerCommand.options, _NUMBER_OPTION]
    examples = ('sassafrasridge key withdraw shop-1a2b3c4d',)

    def execute_command(self) -> int:
        """Withdraw the key."""
        id = self.argument('id')
        answer = self.submit_note(withdrawn=[{'kind': 'key', 'id': id}])
        if self.json_output:
            self.print_json(answer)
        else:
            self.print(f'note {answer["number"]} withdrew key {id}')
        return 0
