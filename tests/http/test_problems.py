"""Guards against error responses without problem details."""

import pytest

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.http.problems import describe_refusal
from sassafrasgate.http.problems import PROBLEM_TYPES
from sassafrasgate.http.problems import render_problem

pytestmark = pytest.mark.anyio

MEMBERS = {'type', 'title', 'status', 'detail', 'remedy'}


@pytest.mark.parametrize('kind', RefusalKind)
async def test_every_refusal_kind_has_a_problem_type(kind):
    problem = describe_refusal(Refusal(kind, 'a reason', 'a remedy'), 'j1')
    response = render_problem(problem)
    assert 400 <= response.status_code < 600
    assert PROBLEM_TYPES.find(kind).title
    assert b'"remedy":"a remedy"' in response.body
    assert b'"job_id":"j1"' in response.body
    if response.status_code in (429, 503):
        assert int(response.headers['retry-after']) > 0


@pytest.mark.parametrize(
    ('method', 'path', 'status'),
    [
        ('GET', '/v2/jobs', 404),
        ('PATCH', '/v1/jobs', 405),
        ('POST', '/v1/jobs', 400),
        ('GET', '/v1/jobs/j1?wait=nan', 400),
        ('GET', '/v1/jobs/j1?wait=-1', 400),
    ],
)
async def test_error_response_has_problem_details(
    client, method, path, status
):
    response = await client.request(method, path, content=b'[1]')
    assert response.status_code == status
    assert response.headers['content-type'] == 'application/problem+json'
    assert response.json().keys() >= MEMBERS
    assert (status == 405) == ('allow' in response.headers)
