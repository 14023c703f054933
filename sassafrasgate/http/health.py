"""Routes for health checks of the load balancer and for metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette.responses import Response

from sassafrasgate.http.json_responses import render_json
from sassafrasgate.http.problems import describe_refusal
from sassafrasgate.http.routes import register_route
from sassafrasgate.http.routes import RouteGroup
from sassafrasgate.observability.metrics import CONTENT_TYPE

if TYPE_CHECKING:
    from sassafrasgate.http.bodies import HttpRequest
    from sassafrasgate.http.problems import Problem
    from sassafrasgate.http.routes import Context


@register_route('GET', '/healthz', RouteGroup.HEALTH)
async def report_health(request: HttpRequest, context: Context) -> Response:
    """Return status 200 as long as the process handles requests."""
    return render_json({'status': 'alive'})


@register_route('GET', '/readyz', RouteGroup.HEALTH)
async def report_readiness(
    request: HttpRequest, context: Context
) -> Response | Problem:
    """Return status 503 if the process is not ready or stops, else 200."""
    refusal = context.gateway.check_readiness()
    if refusal is not None:
        return describe_refusal(refusal)
    version = context.gateway.get_configuration().version
    return render_json({'status': 'ready', 'configuration': version})


@register_route('GET', '/metrics', RouteGroup.HEALTH)
async def report_metrics(request: HttpRequest, context: Context) -> Response:
    """Return all metrics in the Prometheus text format."""
    return Response(
        context.metrics.render(), headers={'Content-Type': CONTENT_TYPE}
    )
