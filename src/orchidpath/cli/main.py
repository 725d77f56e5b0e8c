"""The ``orchidpath`` command, which imports the module of a subcommand only on use."""

import copy
import importlib
import importlib.util
import signal
import sys

import click

from orchidpath import __version__
from orchidpath.common.daemon import ExitCode
from orchidpath.common.errors import OrchidpathError
from orchidpath.common.settings_errors import SettingsError

_COMMANDS = {
    "check": "orchidpath.cli.check",
    "config": "orchidpath.cli.config",
    "control": "orchidpath.cli.control",
    "emulator": "orchidpath.cli.emulator",
    "fleet": "orchidpath.cli.fleet",
    "plan": "orchidpath.cli.plan",
    "replay": "orchidpath.cli.replay",
    "report": "orchidpath.cli.report",
    "router": "orchidpath.cli.router",
    "simulate": "orchidpath.cli.simulate",
    "status": "orchidpath.cli.status",
}
"""Module of each command; the module defines the command under the command's own name."""

_DAEMONS = frozenset({"control", "router"})
"""Commands whose process reads its settings again on SIGHUP."""

_FORMER_NAMES = {"standin": "emulator"}
"""Current name of each renamed command; the former name still works but ``--help`` hides it."""


class LazyGroup(click.Group):
    """Command group that imports commands on use and prints expected errors to stderr."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of the commands whose modules are installed, former names included."""
        present = [name for name, module in _COMMANDS.items() if importlib.util.find_spec(module)]
        former = [name for name, current in _FORMER_NAMES.items() if current in present]
        return [*present, *former]

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return a command, or return None if there is no such command."""
        if cmd_name not in self.list_commands(ctx):
            return None
        current_name = _FORMER_NAMES.get(cmd_name, cmd_name)
        if current_name in _DAEMONS:
            # SIGHUP would end the process until it has its own handler; the settings that it
            # announces are read later in any case.
            signal.signal(signal.SIGHUP, signal.SIG_IGN)
        module = importlib.import_module(_COMMANDS[current_name])
        command = getattr(module, current_name)
        assert isinstance(command, click.Command)
        if current_name != cmd_name:
            command = copy.copy(command)
            command.hidden = True
        return command

    def invoke(self, ctx: click.Context) -> object:
        """Run a command; an expected error exits with its code, without a traceback."""
        try:
            return super().invoke(ctx)
        except SettingsError as error:
            for problem in error.problems:
                click.echo(str(problem), err=True)
            ctx.exit(ExitCode.INVALID_INPUT)
        except (OrchidpathError, OSError) as error:
            click.echo(f"error: {error}", err=True)
            ctx.exit(ExitCode.FAILED)


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="orchidpath")
def orchidpath() -> None:
    """Router fleet for model workers that split prefill and decode."""


def main() -> None:
    """Run the command line and exit."""
    orchidpath(prog_name="orchidpath")
    sys.exit(ExitCode.OK)
