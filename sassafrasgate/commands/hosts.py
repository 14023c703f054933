"""Commands that take hosts out of use and put them back."""

from __future__ import annotations

from sassafrasgate.commands.registries import Output
from sassafrasgate.commands.registries import print_report
from sassafrasgate.commands.registries import register_command
from sassafrasgate.commands.registries import Url
from sassafrasgate.commands.results import ExitCode
from sassafrasgate.commands.results import Report


@register_command('drain')
def drain(host: str, *, url: Url = '', output: Output = 'table') -> ExitCode:
    """Give a host no new work; what runs there goes on.

    Parameters
    ----------
    host
        Name of the host.
    """
    return _change_host(url, host, 'drain', 'gets no new work', output)


@register_command('restore')
def restore(host: str, *, url: Url = '', output: Output = 'table') -> ExitCode:
    """Give a drained host new work again.

    Parameters
    ----------
    host
        Name of the host.
    """
    return _change_host(url, host, 'restore', 'gets new work again', output)


def _change_host(
    url: str, host: str, action: str, effect: str, output: str
) -> ExitCode:
    from sassafrasgate.commands.clients import Call
    from sassafrasgate.commands.clients import call_front_end
    from sassafrasgate.commands.clients import make_path

    call = Call('POST', make_path('hosts', host, action))
    reply = call_front_end(url, call)
    note = f'host {host} {effect}'
    return print_report(Report(reply.document, notes=(note,)), output)
