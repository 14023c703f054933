"""Fixtures: a client of an application that uses a fake gateway."""

from httpx import ASGITransport
from httpx import AsyncClient
import pytest

from sassafrasgate.http.application import build_application
from sassafrasgate.http.limits import Limits
from sassafrasgate.observability.metrics import Metrics
from tests.http.gateways import FakeGateway


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@pytest.fixture
def gateway():
    return FakeGateway()


@pytest.fixture
def limits():
    return Limits()


@pytest.fixture
async def client(gateway, limits):
    transport = ASGITransport(build_application(gateway, Metrics(), limits))
    url = 'http://127.0.0.1'
    async with AsyncClient(transport=transport, base_url=url) as client:
        yield client
