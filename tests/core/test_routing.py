"""Tests lookups of queues in large routing tables."""

from time import perf_counter

from sassafrasgate.core.routing import Queue
from sassafrasgate.core.routing import RoutingTable

QUEUE_COUNT = 2_000
# A linear search through the queues takes about 100 microseconds.
MAX_LOOKUP_S = 20e-6


def make_table(*rows):
    queues = tuple(
        Queue(name, host, prefix, 'p') for name, host, prefix in rows
    )
    return RoutingTable(1, queues)


def test_longest_matching_prefix_of_the_host_wins():
    # Guards against routing a request to a queue with a shorter prefix.
    table = make_table(
        ('short', 'a', '/x/'),
        ('long', 'a', '/x/y/'),
        ('other', 'b', '/x/y/z/'),
    )

    assert table.find_queue('a', '/x/y/z/1').name == 'long'
    assert table.find_queue('a', '/x/1').name == 'short'
    assert table.find_queue('a', '/y/1') is None
    assert table.find_queue('c', '/x/1') is None


def test_first_of_queues_with_equal_prefix_wins():
    # Guards against a result that depends on how the table is indexed.
    table = make_table(('first', 'a', '/x/'), ('second', 'a', '/x/'))

    assert table.find_queue('a', '/x/1').name == 'first'


def test_lookup_time_is_independent_of_table_size():
    # Guards against a linear search, which slows down the scheduler as queues
    # are added.
    table = make_table(
        *(
            (f'q{number}', 'a', f'/r{number:04}/')
            for number in range(QUEUE_COUNT)
        )
    )
    path = f'/r{QUEUE_COUNT - 1:04}/1'
    assert table.find_queue('a', path).name == f'q{QUEUE_COUNT - 1}'
    assert (
        table.find_queue_by_name(f'q{QUEUE_COUNT - 1}').prefix
        == f'/r{QUEUE_COUNT - 1:04}/'
    )

    times = []
    for _ in range(50):
        started = perf_counter()
        table.find_queue('a', path)
        table.find_queue_by_name(f'q{QUEUE_COUNT - 1}')
        times.append(perf_counter() - started)

    assert min(times) < MAX_LOOKUP_S
