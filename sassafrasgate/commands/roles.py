"""The command that runs a daemon, and the roles it can have."""

from __future__ import annotations

from importlib import import_module
from pathlib import Path
from typing import TYPE_CHECKING

from sassafrasgate.commands.registries import register_command
from sassafrasgate.commands.results import CommandError
from sassafrasgate.commands.results import ExitCode
from sassafrasgate.core.registries import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrasgate.configuration.settings import Settings

ROLES: Registry[str, Callable[[Settings], None]] = Registry('role')


@ROLES.register('frontend')
def run_frontend(settings: Settings) -> None:
    """Run a front end until it is stopped."""
    import_module('sassafrasgate.composition').run_frontend(settings)


@ROLES.register('scheduler')
def run_scheduler(settings: Settings) -> None:
    """Run a scheduler until it is stopped."""
    if not settings.link_address:
        raise CommandError(
            "the key 'link_address' is missing in the settings of a "
            "scheduler; add for example link_address: '127.0.0.1:9000'",
            ExitCode.BAD_INPUT,
        )
    import_module('sassafrasgate.composition').run_scheduler(settings)


@register_command('serve')
def serve(role: str, *, settings: Path) -> ExitCode:
    """Run a daemon in the foreground.

    Parameters
    ----------
    role
        frontend or scheduler.
    settings
        YAML file with the settings of this process.
    """
    from sassafrasgate.configuration.settings import load_settings
    from sassafrasgate.configuration.settings import SettingsError

    run = ROLES.find(role)
    try:
        loaded = load_settings(settings)
    except SettingsError as error:
        raise CommandError(str(error), ExitCode.BAD_INPUT) from error
    run(loaded)
    return ExitCode.OK
