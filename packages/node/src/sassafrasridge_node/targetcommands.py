"""Commands that sessions send to targets."""

from sassafrasridge_core import model
from sassafrasridge_core import statements


class Command:
    """Represent a command that is sent to a target."""

    __slots__ = ()


class Reset(Command):
    """Drop all session values and prepared statements."""

    __slots__ = ()


class SetValue(Command):
    """Set one session value."""

    __slots__ = ('name', 'value')

    def __init__(self, name: str, value: str) -> None:
        self.name = name
        self.value = value


class Prepare(Command):
    """Prepare a statement under a name."""

    __slots__ = ('name', 'text')

    def __init__(self, name: str, text: str) -> None:
        self.name = name
        self.text = text


class Begin(Command):
    """Begin a transaction.

    If ``floor`` is given, the target must have applied that log position.
    """

    __slots__ = ('read_only', 'floor')

    def __init__(self, read_only: bool, floor: model.Position | None) -> None:
        self.read_only = read_only
        self.floor = floor


class Rollback(Command):
    """Roll the transaction back."""

    __slots__ = ()


class Forward(Command):
    """Run a client's statement.

    If ``floor`` is given, the target must have applied that log position.
    ``prepared`` is the target's name of the prepared statement to execute.
    """

    __slots__ = ('statement', 'floor', 'prepared')

    def __init__(
        self,
        statement: statements.Statement,
        floor: model.Position | None = None,
        prepared: str = '',
    ) -> None:
        self.statement = statement
        self.floor = floor
        self.prepared = prepared
