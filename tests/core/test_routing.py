"""Guards the lookup of queues in large tables."""

from time import perf_counter

from sassafrasgate.core.routing import Queue
from sassafrasgate.core.routing import RoutingTable

MANY = 2_000
# A linear search through the queues takes about 100 us.
MOST_LOOKUP_S = 20e-6


def make_table(*rows):
    queues = tuple(
        Queue(name, host, prefix, 'p') for name, host, prefix in rows
    )
    return RoutingTable(1, queues)


def test_the_longest_prefix_of_the_host_is_found():
    # Guards against a request that a less specific queue takes.
    table = make_table(
        ('short', 'a', '/x/'),
        ('long', 'a', '/x/y/'),
        ('other', 'b', '/x/y/z/'),
    )

    assert table.find_queue('a', '/x/y/z/1').name == 'long'
    assert table.find_queue('a', '/x/1').name == 'short'
    assert table.find_queue('a', '/y/1') is None
    assert table.find_queue('c', '/x/1') is None


def test_the_first_of_equal_queues_is_found():
    # Guards against a choice that depends on how the table is indexed.
    table = make_table(('first', 'a', '/x/'), ('second', 'a', '/x/'))

    assert table.find_queue('a', '/x/1').name == 'first'


def test_a_lookup_does_not_grow_with_the_table():
    # Guards against a scheduler that slows down as routes are added.
    table = make_table(
        *((f'q{number}', 'a', f'/r{number:04}/') for number in range(MANY))
    )
    path = f'/r{MANY - 1:04}/1'
    assert table.find_queue('a', path).name == f'q{MANY - 1}'
    assert (
        table.find_queue_by_name(f'q{MANY - 1}').prefix == f'/r{MANY - 1:04}/'
    )

    times = []
    for _ in range(50):
        began = perf_counter()
        table.find_queue('a', path)
        table.find_queue_by_name(f'q{MANY - 1}')
        times.append(perf_counter() - began)

    assert min(times) < MOST_LOOKUP_S
