"""Fixtures: an application over a fake gateway and a client for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from httpx import ASGITransport
from httpx import AsyncClient
import pytest

from sassafrasgate.http.application import build_application
from sassafrasgate.http.limits import Limits
from sassafrasgate.observability.metrics import Metrics
from tests.http.gateways import FakeGateway

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest.fixture
def anyio_backend() -> str:
    return 'asyncio'


@pytest.fixture
def gateway() -> FakeGateway:
    return FakeGateway()


@pytest.fixture
def limits() -> Limits:
    return Limits()


@pytest.fixture
async def client(
    gateway: FakeGateway, limits: Limits
) -> AsyncIterator[AsyncClient]:
    application = build_application(gateway, Metrics(), limits)
    transport = ASGITransport(application)
    async with AsyncClient(
        transport=transport, base_url='http://127.0.0.1'
    ) as client:
        yield client
