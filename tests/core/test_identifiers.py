"""Tests job and task ids and the choice of the home shard."""

from sassafrasgate.core.identifiers import find_home_shard
from sassafrasgate.core.identifiers import make_job_id
from sassafrasgate.core.identifiers import make_task_id
from sassafrasgate.core.identifiers import split_task_id


def test_job_id_separates_team_and_key():
    # Guards against a digest of team and key joined without a separator:
    # without the length prefix, ('a', 'bc') and ('ab', 'c') would be one job.
    assert make_job_id('a', 'bc') != make_job_id('ab', 'c')


def test_home_shard_is_independent_of_the_order_of_shards():
    shards = ['north', 'south', 'east']
    job_id = make_job_id('orders', '17')
    assert find_home_shard(job_id, shards) == find_home_shard(
        job_id, reversed(shards)
    )


def test_removing_a_shard_moves_only_its_own_jobs():
    shards = [f's{number}' for number in range(6)]
    jobs = [make_job_id('t', str(number)) for number in range(300)]
    for job_id in jobs:
        home = find_home_shard(job_id, shards)
        if home == 's5':
            continue
        assert find_home_shard(job_id, shards[:5]) == home


def test_task_id_round_trip():
    assert split_task_id(make_task_id('jab', 3, 2)) == ('jab', 3, 2)
