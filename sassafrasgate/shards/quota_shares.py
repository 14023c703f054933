"""Shares of cell-wide quotas, which shards lend to each other.

Each shard starts with an equal share of a team's quota. A shard whose share
is too small for a queued job asks the other shards, one at a time, for
unused share. The lender journals the total that it has lent to a shard
before it replies with that total. A lost reply or a takeover can therefore
leave a part of the quota unused for a while, but the sum of the shares never
exceeds the quota.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.journal.records import ShareLent
from sassafrasgate.protocol.messages import BorrowShare
from sassafrasgate.protocol.messages import ShareTotal
from sassafrasgate.shards.actions import LogDecision
from sassafrasgate.shards.actions import Reply
from sassafrasgate.shards.actions import SendToShard
from sassafrasgate.shards.handlers import DURABLE_HANDLERS
from sassafrasgate.shards.handlers import RECORD_APPLIERS
from sassafrasgate.shards.handlers import REQUEST_HANDLERS
from sassafrasgate.shards.handlers import write_record

if TYPE_CHECKING:
    from sassafrasgate.core.jobs import JobSpec
    from sassafrasgate.shards.events import RequestReceived
    from sassafrasgate.shards.handlers import Actions
    from sassafrasgate.shards.state import ShardState

BORROW_INTERVAL_MS = 200


def set_shares(state: ShardState) -> None:
    """Set each team's share from the quotas of the configuration."""
    shards = len(state.configuration.shards)
    state.quotas.set_teams(state.configuration.teams, shards)
    for team in state.configuration.teams:
        state.base_shares[team.name] = state.quotas.find_share(team.name)
        _adjust_share(state, team.name)


def _adjust_share(state: ShardState, team: str) -> None:
    base = state.base_shares.get(team)
    if base is None or base == NO_RESOURCES:
        return
    share = base
    for (_, name), total in state.borrowed_shares.items():
        if name == team:
            share = share + total
    for (_, name), total in state.lent_shares.items():
        if name == team:
            share = share - total
    state.quotas.set_share(team, share.take_maximum(NO_RESOURCES))


def borrow_share(state: ShardState, spec: JobSpec, now: int) -> Actions:
    """Ask another shard for the share that a queued job needs.

    Each call for a team asks the next shard in turn.
    """
    peers = [
        shard.name
        for shard in state.configuration.shards
        if shard.name != state.name
    ]
    turn, next_at = state.borrow_turns.get(spec.team, (0, 0))
    if not peers or now < next_at:
        return
    state.borrow_turns[spec.team] = (turn + 1, now + BORROW_INTERVAL_MS)
    demand = state.demand_estimator.estimate_demand(spec).scale(spec.tasks)
    wanted = state.quotas.find_reserved(spec.team) + demand
    missing = (wanted - state.quotas.find_share(spec.team)).take_maximum(
        NO_RESOURCES
    )
    peer = peers[turn % len(peers)]
    yield SendToShard(peer, BorrowShare(peer, state.name, spec.team, missing))


@REQUEST_HANDLERS.register('borrow-share')
def lend_share(
    state: ShardState, request: RequestReceived, now: int
) -> Actions:
    """Lend as much of the requested share as is unused here."""
    message: BorrowShare = request.message
    key = (message.borrower, message.team)
    total = state.lent_shares.get(key, NO_RESOURCES)
    free = state.quotas.find_share(message.team) - (
        state.quotas.find_reserved(message.team)
    )
    grant = message.missing.take_minimum(free).take_maximum(NO_RESOURCES)
    state.share_callers.setdefault(key, []).append(request.reply_to)
    if grant == NO_RESOURCES and len(state.share_callers[key]) == 1:
        yield from _reply_to_borrower(state, key, total)
        return
    yield LogDecision(
        'lend', '', reason=f'{message.team} to {message.borrower}: {grant}'
    )
    yield from write_record(
        state, ShareLent(message.borrower, message.team, total + grant)
    )


@RECORD_APPLIERS.register('share-lent')
def apply_share_lent(state: ShardState, record: ShareLent) -> None:
    """Set the total lent to a shard and reduce the own share by it."""
    state.lent_shares[(record.borrower, record.team)] = record.total
    _adjust_share(state, record.team)


@DURABLE_HANDLERS.register('share-lent')
def confirm_share_lent(
    state: ShardState, record: ShareLent, now: int
) -> Actions:
    """Reply to the borrower, since the loan is in the journal."""
    key = (record.borrower, record.team)
    yield from _reply_to_borrower(state, key, record.total)


def _reply_to_borrower(
    state: ShardState, key: tuple[str, str], total: Resources
) -> Actions:
    for reply_to in state.share_callers.pop(key, ()):
        yield Reply(reply_to, ShareTotal(key[1], total))


def record_share_total(
    state: ShardState, message: BorrowShare, reply: ShareTotal
) -> None:
    """Increase this shard's share to include all that a shard has lent.

    Totals only grow, so a delayed reply with a smaller total has no effect.
    """
    key = (message.shard, message.team)
    state.borrowed_shares[key] = state.borrowed_shares.get(
        key, NO_RESOURCES
    ).take_maximum(reply.total)
    _adjust_share(state, message.team)
    state.needs_pass = True
