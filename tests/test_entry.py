"""Tests of the start of an entry host's daemon."""

from socket import create_connection
from socket import socket
from types import SimpleNamespace

from sassafrasgate import entry
from sassafrasgate.commands.results import ExitCode
from tests.processes import find_free_address


def write_settings(path, **changes):
    """Write the settings of an entry host; return the address for callers."""
    settings = {
        name: find_free_address()
        for name in (
            'caller_address',
            'ready_address',
            'metrics_address',
            'link_address',
            'store_address',
        )
    }
    settings |= {'name': 'e1', 'failure_domain': 'd1', **changes}
    text = ''.join(f"{key}: '{value}'\n" for key, value in settings.items())
    path.write_text(text)
    return settings['caller_address']


def test_callers_can_connect_while_the_daemon_is_imported(
    tmp_path, monkeypatch
):
    # Guards against a daemon that opens its socket only after its imports,
    # which take most of its start-up time. Callers would be refused meanwhile
    # and use up their retries.
    path = tmp_path / 'settings.yaml'
    address = write_settings(path)
    listeners = []

    def import_slowly(name):
        host, port = address.split(':')
        create_connection((host, int(port)), 1).close()
        return SimpleNamespace(
            run_entry=lambda path, listener: listeners.append(listener)
        )

    monkeypatch.setattr(entry, 'import_module', import_slowly)

    assert entry.main([str(path)]) == ExitCode.OK
    (listener,) = listeners
    listener.close()


def test_bad_settings_are_reported(tmp_path, capsys, monkeypatch):
    # Guards against a daemon that accepts connections although it can never
    # serve requests.
    path = tmp_path / 'settings.yaml'
    write_settings(path, stop_s='soon')
    opened = []
    monkeypatch.setattr(entry, 'open_listener', opened.append)

    assert entry.main([str(path)]) == ExitCode.BAD_INPUT
    assert "'soon'" in capsys.readouterr().err
    assert not opened


def test_missing_argument_is_reported(capsys):
    # Guards against a traceback instead of the usage when the path of the
    # settings is missing.
    assert entry.main([]) == ExitCode.BAD_INPUT
    assert entry.USAGE in capsys.readouterr().err


def test_address_in_use_is_reported(tmp_path, capsys):
    # Guards against a traceback instead of an error message when another
    # process uses the port.
    path = tmp_path / 'settings.yaml'
    with socket() as other:
        other.bind(('127.0.0.1', 0))
        other.listen()
        host, port = other.getsockname()
        write_settings(path, caller_address=f'{host}:{port}')

        assert entry.main([str(path)]) == ExitCode.BAD_INPUT
    assert f'{host}:{port}' in capsys.readouterr().err
