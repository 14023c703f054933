"""The daemon of an entry host: ``python -m sassafrasgate.entry SETTINGS``.

It imports only the modules that this daemon needs, because its start-up time
adds to the time of every recovery. ``sassafrasgate serve entry`` runs the same
process.
"""

from __future__ import annotations

from importlib import import_module
from os import devnull
from os import environ
from pathlib import Path
from signal import SIG_IGN
from signal import SIGHUP
from signal import signal
import sys

# The default action of SIGHUP would end a daemon that is told to reload while
# it still imports its modules. The signal can be ignored then, because the
# settings are read afterwards anyway.
signal(SIGHUP, SIG_IGN)
# Entry hosts use plain HTTP only. Empty certificate files save the 0.1 s that
# the HTTP client library takes on import to load the system's certificates.
environ.setdefault('SSL_CERT_FILE', devnull)
environ.setdefault('SSL_CERT_DIR', devnull)

from sassafrasgate.commands.results import ExitCode  # noqa: E402
from sassafrasgate.configuration.entry_settings import load_entry_settings  # noqa: E402
from sassafrasgate.configuration.settings import SettingsError  # noqa: E402
from sassafrasgate.http.listeners import AddressError  # noqa: E402
from sassafrasgate.http.listeners import open_listener  # noqa: E402
from sassafrasgate.http.listeners import SMALL_BUFFER_BYTES  # noqa: E402

USAGE = 'usage: python -m sassafrasgate.entry SETTINGS'


def main(arguments: list[str]) -> int:
    """Run the daemon until it is stopped and return an `ExitCode`.

    Parameters
    ----------
    arguments : list of str
        Command-line arguments: the path of a YAML file with the settings of
        this process.
    """
    if len(arguments) != 1:
        print(
            f'error: {arguments!r} is not the path of one settings file; '
            f'{USAGE}',
            file=sys.stderr,
        )
        return ExitCode.BAD_INPUT
    path = Path(arguments[0])
    try:
        settings = load_entry_settings(path)
        # The import that follows takes most of the start-up time. Callers
        # that connect during it wait instead of being refused.
        listener = open_listener(settings.caller_address, SMALL_BUFFER_BYTES)
        # Importing the adapters registers them.
        import_module('sassafrasgate.platform.adapters')
        composition = import_module('sassafrasgate.composition.entry')
        composition.run_entry(path, listener)
    except (AddressError, SettingsError) as error:
        print(f'error: {error}', file=sys.stderr)
        return ExitCode.BAD_INPUT
    return ExitCode.OK


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
