"""``orchidpath control``: runs one control process."""

from pathlib import Path

import click

from orchidpath.cli.settings_option import settings_file_option
from orchidpath.common.daemon import run_daemon
from orchidpath.common.logs import configure_logs
from orchidpath.common.settings import ControlSettings
from orchidpath.common.settings_file import load_settings


@click.command()
@settings_file_option
@click.pass_context
def control(ctx: click.Context, settings_file: Path) -> None:
    """Run one control process, which stores its state in its data folder.

    SIGTERM stops the process gracefully; a SIGINT during the shutdown ends it. SIGHUP reloads
    the settings file.
    """
    settings = load_settings(settings_file, ControlSettings)
    configure_logs(settings.log_level, node_id=settings.node_id, role="control")
    from orchidpath.control.process import ControlProcess

    process = ControlProcess(settings)
    ctx.exit(run_daemon(process, lambda: load_settings(settings_file, ControlSettings)))
