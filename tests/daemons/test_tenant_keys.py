"""Tests which tenant an entry host recognises by the key of a call."""

from types import SimpleNamespace

import pytest

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.routing import Queue
from sassafrasgate.core.routing import RoutingTable
from sassafrasgate.core.tenants import digest_key
from sassafrasgate.core.tenants import NO_TENANT
from sassafrasgate.core.tenants import Tenant
from sassafrasgate.daemons.gateways import EntryGateway
from sassafrasgate.daemons.gateways import MAX_DENIAL_AGE_MS

QUEUE = Queue('q', 'h.example', '/q/', 'pool')
PUBLIC = Queue('p', 'h.example', '/p/', 'pool', public=True)
BAKERS = Tenant('bakers', (digest_key('key-1'), digest_key('key-2')))
TABLE = RoutingTable(
    3, (QUEUE, PUBLIC), (), (BAKERS, Tenant('brewers', (digest_key('key-3'),)))
)


def identify(key, queue=QUEUE, table=TABLE, age_ms=0, max_key_age_ms=0):
    gateway = EntryGateway(
        'e1', SimpleNamespace(table=table), lambda: age_ms, max_key_age_ms
    )
    return gateway.identify_tenant(queue, key)


def find_kind(reply):
    return reply.kind if isinstance(reply, Refusal) else reply


@pytest.mark.parametrize(
    ('key', 'tenant'),
    [('key-1', 'bakers'), ('key-2', 'bakers'), ('key-3', 'brewers')],
)
def test_each_key_names_its_tenant(key, tenant):
    assert identify(key) == tenant
    assert identify(key, PUBLIC) == tenant


@pytest.mark.parametrize(
    'key', ['key-4', '', 'KEY-1', 'key-1 ', '\udcff', 'é']
)
@pytest.mark.parametrize('queue', [QUEUE, PUBLIC])
def test_unknown_key_is_denied(key, queue):
    # Guards against running a call whose key no table has had.
    assert find_kind(identify(key, queue)) is RefusalKind.UNAUTHENTICATED


def test_call_without_a_key_is_served_on_public_queues_only():
    assert find_kind(identify(None)) is RefusalKind.UNAUTHENTICATED
    assert identify(None, PUBLIC) == NO_TENANT


def test_cell_without_tenants_needs_no_key():
    # Guards against refusing the callers of deployments without tenants.
    table = RoutingTable(3, (QUEUE,))

    assert identify(None, table=table) == NO_TENANT
    assert identify('any', table=table) == NO_TENANT


def test_removal_of_all_tenants_opens_no_queue():
    # An empty list of tenants is not the same as none.
    table = RoutingTable(4, (QUEUE,), (), ())

    reply = identify('key-1', table=table)

    assert find_kind(reply) is RefusalKind.UNAUTHENTICATED


def test_removed_key_is_denied_by_the_next_call():
    # Each call is checked, so that an open connection keeps no rights.
    gateway_task = SimpleNamespace(table=TABLE)
    gateway = EntryGateway('e1', gateway_task, lambda: 0)
    assert gateway.identify_tenant(QUEUE, 'key-1') == 'bakers'

    gateway_task.table = RoutingTable(
        4, (QUEUE,), (), (Tenant('bakers', (digest_key('key-2'),)),)
    )

    assert find_kind(gateway.identify_tenant(QUEUE, 'key-1')) is (
        RefusalKind.UNAUTHENTICATED
    )
    assert gateway.identify_tenant(QUEUE, 'key-2') == 'bakers'


def test_host_with_a_late_table_denies_no_key():
    # A newer table may have the key; a 401 would tell the caller that it is
    # of no use anywhere.
    age_ms = MAX_DENIAL_AGE_MS + 1

    assert find_kind(identify('new', age_ms=age_ms)) is RefusalKind.NOT_READY
    assert identify('key-1', age_ms=age_ms) == 'bakers'
    assert find_kind(identify(None, age_ms=age_ms)) is (
        RefusalKind.UNAUTHENTICATED
    )


def test_strict_hosts_accept_no_key_of_a_late_table():
    # Guards against serving removed keys at a host that is cut off.
    assert identify('key-1', age_ms=4_999, max_key_age_ms=5_000) == 'bakers'

    reply = identify('key-1', age_ms=5_000, max_key_age_ms=5_000)

    assert find_kind(reply) is RefusalKind.NOT_READY


@pytest.mark.parametrize('key', ['key-9', None])
def test_refusals_and_tables_show_no_key(key):
    # Guards against keys in logs, which print refusals and settings.
    reply = identify(key, age_ms=0)

    assert 'key-' not in repr(reply)
    assert 'key-' not in repr(TABLE)
