"""The daemon of an entry host: ``python -m sassafrasgate.entry SETTINGS``.

It imports only what this daemon needs, since its start is a part of every
recovery. ``sassafrasgate serve entry`` runs the same process.
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

# A daemon that is told to reload while it imports its modules reads its
# settings afterwards anyway; the default action would end it.
signal(SIGHUP, SIG_IGN)
# Entry hosts speak plain HTTP. The client library loads the system's
# certificates when it is imported, which takes 0.1 s.
environ.setdefault('SSL_CERT_FILE', devnull)
environ.setdefault('SSL_CERT_DIR', devnull)

from sassafrasgate.commands.results import ExitCode  # noqa: E402
from sassafrasgate.configuration.entry_settings import load_entry_settings  # noqa: E402
from sassafrasgate.configuration.settings import SettingsError  # noqa: E402
from sassafrasgate.http.listeners import AddressError  # noqa: E402
from sassafrasgate.http.listeners import open_listener  # noqa: E402

USAGE = 'usage: python -m sassafrasgate.entry SETTINGS'


def main(arguments: list[str]) -> int:
    """Run the daemon until it is stopped; return an `ExitCode`.

    Parameters
    ----------
    arguments : list of str
        The path of a YAML file with the settings of this process.
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
        # Most of the start is the import that follows. Callers that connect
        # meanwhile wait for it instead of being turned away.
        listener = open_listener(settings.caller_address)
        # The adapters register themselves.
        import_module('sassafrasgate.platform.adapters')
        composition = import_module('sassafrasgate.composition.entry')
        composition.run_entry(path, listener)
    except (AddressError, SettingsError) as error:
        print(f'error: {error}', file=sys.stderr)
        return ExitCode.BAD_INPUT
    return ExitCode.OK


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
