"""Tests the choice of store and worker clients by URL scheme."""

import pytest

from sassafrasgate.adapters.schemes import open_store
from sassafrasgate.adapters.schemes import open_worker
from sassafrasgate.adapters.store import Store
from sassafrasgate.adapters.workers import WorkerClient
from sassafrasgate.core.errors import UnknownNameError


async def test_scheme_selects_the_client_and_passes_its_options():
    async with open_store('http://127.0.0.1:1', timeout_s=2.0) as store:
        assert type(store) is Store
    async with open_worker('http://127.0.0.1:1', connections=2) as worker:
        assert type(worker) is WorkerClient


@pytest.mark.parametrize('open_client', [open_store, open_worker])
def test_error_for_unknown_scheme_names_the_known_ones(open_client):
    with pytest.raises(UnknownNameError, match='use one of http'):
        open_client('gopher://127.0.0.1:1')
