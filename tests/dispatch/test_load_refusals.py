"""Tests of admission by predicted completion, on generated load."""

from collections import Counter
from math import ceil

from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.dispatch.promises import keep_promise
from sassafrasgate.dispatch.promises import MAX_PROMISES
from tests.dispatch.load_replays import CLASSES
from tests.dispatch.load_replays import LoadReplay
from tests.dispatch.load_replays import QUICK
from tests.dispatch.load_replays import TENANTS

SEEDS = range(1, 5)
# Quick jobs at many times their rate for four seconds, beside others.
STEADY = [0.8] * 14
QUICK_BURST = [0.8] * 3 + [6.0] * 4 + [0.8] * 7
OVERLOAD = [0.8] * 3 + [10.0] * 6 + [0.8] * 7
BURST_S = (3, 7)


def play_pairs(rates, quick_rates=(), **options):
    """Return replays with the prediction, and without it as the baseline."""
    return [
        [
            LoadReplay(
                rates, quick_rates, seed=seed, admits_all=admits_all, **options
            ).run()
            for seed in SEEDS
        ]
        for admits_all in (False, True)
    ]


def find_mean(replays, *arguments, **options):
    shares = [replay.find_share(*arguments, **options) for replay in replays]
    return sum(shares) / len(shares)


def test_more_of_a_burst_is_in_time_than_when_everything_is_accepted():
    # Guards against late jobs that take the room of those in time.
    replays, baseline = play_pairs(STEADY, QUICK_BURST)

    assert find_mean(replays, begin_s=3, end_s=7) > find_mean(
        baseline, begin_s=3, end_s=7
    )
    for job_class in CLASSES:
        assert find_mean(replays, job_class) >= find_mean(baseline, job_class)


def test_callers_after_an_overload_are_served_again():
    # Guards against accepted work that outlasts an overload and makes late
    # what comes after it. Half of the room is free for new callers then.
    replays, baseline = play_pairs([0.9] * 16, OVERLOAD)

    assert find_mean(replays, begin_s=9) >= 0.5
    assert find_mean(replays, begin_s=9) > find_mean(baseline, begin_s=9)


def test_nothing_is_refused_in_calm():
    # Guards against refusals because of wrong estimates while there is room.
    for seed in SEEDS:
        replay = LoadReplay([0.6] * 12, seed=seed).run()

        assert not replay.count_refused()
        assert replay.find_share() >= 0.99


def test_caller_that_returns_when_it_was_told_to_is_admitted():
    # Guards against a Retry-After that is not true.
    replay = LoadReplay(STEADY, QUICK_BURST).run()
    refused = [call for call in replay.calls.values() if call.refusals]

    assert refused
    for call in refused:
        assert len(call.refusals) == 1
        told_at, refusal = call.refusals[0]
        assert refusal.refusal is RefusalKind.OVERLOADED
        wait_ms = ceil(refusal.retry_after_ms / 1_000) * 1_000
        assert call.accepted_at == told_at + wait_ms


def test_refused_callers_return_one_after_the_other():
    # Guards against a second burst when all refused callers return at once.
    replay = LoadReplay([0.9] * 16, OVERLOAD, tail_s=0).run()
    times = [
        promise.at
        for promise in replay.driver.state.promises.values()
        if promise.at < replay.driver.now
    ]

    assert len(set(times)) >= len(times) / 2


def test_no_task_of_a_refused_job_runs():
    # Guards against a refusal that says that a job has not run, but it has.
    replay = LoadReplay([0.9] * 16, OVERLOAD, tail_s=4).run()
    refused = {
        call.job_id
        for call in replay.calls.values()
        if call.refusals and not call.accepted_at
    }

    assert refused
    assert not refused & replay.started_jobs
    assert not refused & replay.driver.state.jobs.keys()


def test_surplus_of_one_tenant_does_not_fill_the_room_of_others():
    # Guards against a tenant with many times its usual rate whose waiting
    # work makes the jobs of all other tenants late.
    replays, baseline = play_pairs(
        [0.8] * 3 + [4.0] * 4 + [0.8] * 7, hot_tenant=8.0
    )
    for tenant in TENANTS[1:]:
        shares = [
            find_mean(plays, tenant=tenant.name)
            for plays in (replays, baseline)
        ]
        assert shares[0] >= shares[1] - 0.05
    others = [
        sum(find_mean(plays, tenant=tenant.name) for tenant in TENANTS[1:])
        for plays in (replays, baseline)
    ]
    assert others[0] > others[1]


def test_takeover_in_an_overload_keeps_accepted_jobs_and_refuses_again():
    # Guards against a successor that accepts all since it knows no backlog.
    replay = LoadReplay([0.9] * 16, OVERLOAD)
    replay.replace_owner(6)
    replay.run()
    jobs = replay.driver.state.jobs

    assert replay.driver.state.epoch == 2
    assert all(
        call.job_id in jobs
        for call in replay.calls.values()
        if call.accepted_at
    )
    assert any(
        at - replay.began > 6_500
        for call in replay.calls.values()
        for at, _ in call.refusals
    )


def test_callers_return_in_turn_after_an_outage_of_the_store():
    # Guards against all callers of an outage in an overload coming back at
    # the same time, urgent ones behind others.
    replay = LoadReplay([2.5] * 10)
    replay.stop_store(4, 4)
    replay.run()
    tasks = Counter()
    for call in replay.calls.values():
        outage = list_outage_refusals(call)
        if outage:
            at, refusal = outage[-1]
            tasks[(at + refusal.retry_after_ms) // 1_000] += call.tasks
    waits_ms = list_outage_waits(replay)

    assert max(tasks.values()) <= sum(tasks.values()) / 2
    assert max(waits_ms['quick']) < max(waits_ms['middle'])


def test_outage_of_the_store_in_calm_delays_nobody():
    # Guards against a spread that keeps callers away from free room.
    replay = LoadReplay([0.6] * 12)
    replay.stop_store(4, 4)
    replay.run()
    waits_ms = list_outage_waits(replay)

    assert set(waits_ms['quick']) == {1_000}
    assert replay.find_share(QUICK, begin_s=8) == 1.0


def list_outage_waits(replay):
    """Return what callers were told in the outage, by queue."""
    waits_ms = {job_class.queue.name: [] for job_class in CLASSES}
    for call in replay.calls.values():
        waits_ms[call.job_class.queue.name] += [
            refusal.retry_after_ms for _, refusal in list_outage_refusals(call)
        ]
    return waits_ms


def list_outage_refusals(call):
    """Return the refusals of a caller for want of the store."""
    return [
        (at, refusal)
        for at, refusal in call.refusals
        if refusal.refusal is RefusalKind.STORE_UNAVAILABLE
    ]


def test_promises_are_bounded_and_forgotten():
    # Guards against memory that grows with callers that never come back.
    replay = LoadReplay([0.9] * 16, OVERLOAD, tail_s=0).run()
    state = replay.driver.state
    promise = next(iter(state.promises.values()))
    for number in range(2 * MAX_PROMISES):
        keep_promise(state, f'{number:x}', promise)

    assert len(state.promises) == MAX_PROMISES
    replay.driver.wait(60_000)
    assert not state.promises
