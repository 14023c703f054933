"""Commands that drain hosts and restore them."""

from __future__ import annotations

from sassafrasgate.commands.registries import Output
from sassafrasgate.commands.registries import print_report
from sassafrasgate.commands.registries import register_command
from sassafrasgate.commands.registries import Url
from sassafrasgate.commands.results import ExitCode
from sassafrasgate.commands.results import Report


@register_command('drain')
def drain(host: str, *, url: Url = '', output: Output = 'table') -> ExitCode:
    """Drain a host: it gets no new work, and running tasks continue.

    Parameters
    ----------
    host
        Name of the host.
    """
    return _change_host(url, host, 'drain', 'gets no new work', output)


@register_command('restore')
def restore(host: str, *, url: Url = '', output: Output = 'table') -> ExitCode:
    """Restore a drained host, so that it gets new work again.

    Parameters
    ----------
    host
        Name of the host.
    """
    return _change_host(url, host, 'restore', 'gets new work again', output)


def _change_host(
    url: str, host: str, action: str, effect: str, output: str
) -> ExitCode:
    from sassafrasgate.commands.clients import ApiRequest
    from sassafrasgate.commands.clients import make_path
    from sassafrasgate.commands.clients import send_request

    request = ApiRequest('POST', make_path('hosts', host, action))
    response = send_request(url, request)
    note = f'host {host} {effect}'
    return print_report(Report(response.document, notes=(note,)), output)
