"""Routes for operators that list hosts, jobs, shards and schedulers."""

from __future__ import annotations

from functools import partial
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.jobs import JobState
from sassafrasgate.http.bodies import describe_faults
from sassafrasgate.http.bodies import read_integer
from sassafrasgate.http.forwarding import forward_to_all_shards
from sassafrasgate.http.json_responses import make_job_object
from sassafrasgate.http.json_responses import render_json
from sassafrasgate.http.problems import Problem
from sassafrasgate.http.routes import register_route
from sassafrasgate.http.routes import RouteGroup
from sassafrasgate.protocol.messages import ListHosts
from sassafrasgate.protocol.messages import ListJobs

if TYPE_CHECKING:
    from starlette.responses import Response

    from sassafrasgate.core.cells import Shard
    from sassafrasgate.http.bodies import HttpRequest
    from sassafrasgate.http.forwarding import ShardReplies
    from sassafrasgate.http.routes import Context
    from sassafrasgate.protocol.messages import StatusReply

DEFAULT_LISTED_JOBS = 200
MAX_LISTED_JOBS = 1000


@register_route('GET', '/v1/hosts', RouteGroup.OPERATORS)
async def list_hosts(request: HttpRequest, context: Context) -> Response:
    """Return the hosts of all shards that reply."""
    shard_replies = await forward_to_all_shards(context, ListHosts)
    hosts = [host for reply in shard_replies.replies for host in reply.hosts]
    hosts.sort(key=lambda host: host.name)
    return _render_list('hosts', hosts, shard_replies)


@register_route('GET', '/v1/jobs', RouteGroup.OPERATORS)
async def list_jobs(
    request: HttpRequest, context: Context
) -> Response | Problem:
    """Return up to ``limit`` jobs of each shard that replies."""
    limit = read_integer(
        request, 'limit', DEFAULT_LISTED_JOBS, MAX_LISTED_JOBS
    )
    if isinstance(limit, Problem):
        return limit
    state = request.query_params.get('state', '')
    states = tuple(str(known) for known in JobState)
    if state and state not in states:
        text = f'must be one of {", ".join(states)}, not {state!r:.80}'
        return describe_faults((f'state: {text}',))
    message = partial(ListJobs, state=state, limit=limit)
    shard_replies = await forward_to_all_shards(context, message)
    jobs = [
        make_job_object(job)
        for reply in shard_replies.replies
        for job in reply.jobs
    ]
    return _render_list('jobs', jobs, shard_replies)


@register_route('GET', '/v1/shards', RouteGroup.OPERATORS)
async def list_shards(request: HttpRequest, context: Context) -> Response:
    """Return the configured shards, with their owners if known."""
    status = await context.gateway.list_status()
    shards = context.gateway.get_configuration().shards
    return render_json(
        {'shards': [_make_shard_object(shard, status) for shard in shards]}
    )


@register_route('GET', '/v1/status', RouteGroup.OPERATORS)
async def show_status(request: HttpRequest, context: Context) -> Response:
    """Return the schedulers that reply and the shards that they own."""
    status = await context.gateway.list_status()
    version = context.gateway.get_configuration().version
    processes = sorted(status, key=lambda reply: reply.name)
    return render_json({'configuration': version, 'schedulers': processes})


def _make_shard_object(
    shard: Shard, status: tuple[StatusReply, ...]
) -> dict[str, Any]:
    owners = [
        (reply.shards[shard.name], reply.name)
        for reply in status
        if shard.name in reply.shards
    ]
    # A previous owner may still list the shard; the highest epoch is current.
    epoch, owner = max(owners, default=(0, ''))
    return {
        'name': shard.name,
        'failure_domain': shard.failure_domain,
        'racks': shard.racks,
        'owner': owner,
        'epoch': epoch,
    }


def _render_list(
    name: str, items: list[Any], shard_replies: ShardReplies
) -> Response:
    return render_json(
        {
            name: items,
            'partial': bool(shard_replies.missing),
            'missing': shard_replies.missing,
        }
    )
