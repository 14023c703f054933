"""The command that runs a daemon, and the registry of daemon roles."""

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

ROLES: Registry[str, Callable[[Path], None]] = Registry('role')


@ROLES.register('entry')
def run_entry(path: Path) -> None:
    """Run the daemon of an entry host until it is stopped."""
    # Importing the adapters registers them.
    import_module('sassafrasgate.platform.adapters')
    composition = import_module('sassafrasgate.composition.entry')
    composition.run_entry(path)


@ROLES.register('frontend')
def run_frontend(path: Path) -> None:
    """Run a front end until it is stopped."""
    settings = _load_settings(path)
    import_module('sassafrasgate.composition.daemons').run_frontend(settings)


@ROLES.register('scheduler')
def run_scheduler(path: Path) -> None:
    """Run a scheduler until it is stopped."""
    settings = _load_settings(path)
    if not settings.link_address:
        raise CommandError(
            "the key 'link_address' is missing in the settings of a "
            "scheduler; add for example link_address: '127.0.0.1:9000'",
            ExitCode.BAD_INPUT,
        )
    import_module('sassafrasgate.composition.daemons').run_scheduler(settings)


def _load_settings(path: Path) -> Settings:
    from sassafrasgate.configuration.settings import load_settings

    return load_settings(path)


@register_command('serve')
def serve(role: str, *, settings: Path) -> ExitCode:
    """Run a daemon in the foreground.

    Parameters
    ----------
    role
        Role of the daemon: entry, frontend or scheduler.
    settings
        YAML file with the settings of the daemon.
    """
    from sassafrasgate.configuration.settings import SettingsError

    run = ROLES.find(role)
    try:
        run(settings)
    except SettingsError as error:
        raise CommandError(str(error), ExitCode.BAD_INPUT) from error
    return ExitCode.OK
