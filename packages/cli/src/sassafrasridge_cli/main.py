"""Entry point of the operators' command line."""

import importlib.metadata
import sys

from cleo.application import Application
from cleo.exceptions import CleoError

from sassafrasridge_cli import keys
from sassafrasridge_cli import notes
from sassafrasridge_cli import processes
from sassafrasridge_cli import views
from sassafrasridge_cli import zones
from sassafrasridge_core import errors

COMMANDS = (
    notes.NoteSubmit,
    notes.NoteCheck,
    notes.NoteShow,
    notes.NoteList,
    notes.NoteWait,
    keys.KeyCreate,
    keys.KeyWithdraw,
    views.Status,
    views.Audit,
    processes.Drain,
    processes.EntryRemove,
    processes.MemberList,
    processes.MemberAdd,
    processes.MemberReplace,
    processes.MemberRemove,
    processes.SettingsCheck,
    zones.ZoneDrain,
    zones.ZoneRestore,
    zones.ZoneList,
)


def application() -> Application:
    """Return the application with all commands."""
    version = importlib.metadata.version('sassafrasridge-cli')
    app = Application('sassafrasridge', version)
    app.auto_exits(False)
    app.catch_exceptions(False)
    for command in COMMANDS:
        app.add(command())
    return app


def main() -> None:
    """Run the command line and exit with its exit code."""
    try:
        code = application().run()
    except CleoError as exc:
        sys.stderr.write(
            f"error: {exc}. Try 'sassafrasridge <command> --help'.\n"
        )
        code = errors.BadRequestError.exit_code
    sys.exit(code)


if __name__ == '__main__':
    main()
