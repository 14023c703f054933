"""Tests names, labels and values in the rendered metrics."""

import pytest

from sassafrasgate.observability.metrics import DECISIONS
from sassafrasgate.observability.metrics import LINK_BYTES
from sassafrasgate.observability.metrics import METRICS
from sassafrasgate.observability.metrics import Metrics
from sassafrasgate.observability.metrics import OWNED_SHARDS
from sassafrasgate.observability.metrics import REQUEST_SECONDS


def test_values_are_rendered_with_their_labels():
    metrics = Metrics()
    metrics.count(LINK_BYTES, 'sent', amount=100)
    metrics.count(LINK_BYTES, 'sent', amount=20)
    metrics.set_gauge(OWNED_SHARDS, 3)
    metrics.set_gauge(OWNED_SHARDS, 2)
    metrics.observe(REQUEST_SECONDS, 0.003, '/v1/jobs')
    lines = metrics.render().decode().splitlines()
    prefix = 'sassafrasgate_'
    assert f'{prefix}link_bytes_total{{direction="sent"}} 120' in lines
    assert f'{prefix}owned_shards 2' in lines
    seconds = f'{prefix}http_request_seconds'
    assert f'{seconds}_bucket{{le="0.0025",route="/v1/jobs"}} 0.0' in lines
    assert f'{seconds}_bucket{{le="0.005",route="/v1/jobs"}} 1.0' in lines
    assert f'{seconds}_bucket{{le="+Inf",route="/v1/jobs"}} 1.0' in lines


def test_every_metric_is_rendered_and_instances_share_no_values():
    first, second = Metrics(), Metrics()
    first.count(DECISIONS, 'place')
    assert b'decisions_total{' not in second.render()
    for name in METRICS:
        assert f'# TYPE sassafrasgate_{name} '.encode() in second.render()


def test_wrong_number_of_labels_is_an_error():
    with pytest.raises(ValueError, match='argument'):
        Metrics().count(DECISIONS)
