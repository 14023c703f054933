"""Definitions and values of the metrics of a process."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Histogram
from aioprometheus.collectors import Registry as CollectorRegistry
from aioprometheus.formats.text import TextFormatter

from sassafrasgate.core.registries import Registry

PREFIX = 'sassafrasgate_'
CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'

# Decisions take fractions of a millisecond, long polls up to one minute.
SECONDS_BUCKETS = (
    0.0005,
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    60.0,
    float('inf'),
)


class MetricKind(StrEnum):
    """Kind of a metric, as Prometheus names it."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    HISTOGRAM = 'histogram'


@dataclass(frozen=True, slots=True)
class Metric:
    """Definition of a metric.

    Parameters
    ----------
    name : str
        Name without the common prefix; a unit, if any, comes last.
    kind : MetricKind
        Kind of the metric, which selects the collector.
    help : str
        One sentence that describes the metric in the scrape.
    labels : tuple of str
        Label names, in the order in which values are given. A label must
        have few distinct values, such as kinds or reasons, and never job ids
        or team names, since each value is a time series of its own.
    """

    name: str
    kind: MetricKind
    help: str
    labels: tuple[str, ...] = ()


METRICS: Registry[str, Metric] = Registry('metric')
_COLLECTORS: Registry[MetricKind, type[Any]] = Registry('metric kind')

_COLLECTORS.register(MetricKind.COUNTER)(Counter)
_COLLECTORS.register(MetricKind.GAUGE)(Gauge)


@_COLLECTORS.register(MetricKind.HISTOGRAM)
class _SecondsHistogram(Histogram):
    def __init__(self, name: str, doc: str, registry: Any) -> None:
        super().__init__(name, doc, registry=registry, buckets=SECONDS_BUCKETS)


def define_metric(
    kind: MetricKind, name: str, text: str, *labels: str
) -> Metric:
    """Register a metric and return its definition.

    Raises
    ------
    DuplicateNameError
        When the name is already registered.
    """
    return METRICS.register(name)(Metric(name, kind, text, labels))


DECISIONS = define_metric(
    MetricKind.COUNTER, 'decisions_total', 'Decisions by kind.', 'kind'
)
REFUSALS = define_metric(
    MetricKind.COUNTER, 'refusals_total', 'Refusals by reason.', 'reason'
)
JOBS = define_metric(
    MetricKind.GAUGE, 'jobs', 'Jobs by state.', 'shard', 'state'
)
STARTS = define_metric(
    MetricKind.COUNTER, 'starts_total', 'Task starts by result.', 'result'
)
ATTEMPTS = define_metric(
    MetricKind.COUNTER, 'attempts_total', 'Ended attempts by fate.', 'fate'
)
STORE_CALLS = define_metric(
    MetricKind.COUNTER,
    'store_calls_total',
    'Calls to the store by kind and result.',
    'kind',
    'result',
)
STORE_VIEW_AGE = define_metric(
    MetricKind.GAUGE,
    'store_view_age_seconds',
    'Time since the store last confirmed the watched keys of a prefix.',
    'prefix',
)
LINK_MESSAGES = define_metric(
    MetricKind.COUNTER,
    'link_messages_total',
    'Messages on links by direction and kind.',
    'direction',
    'kind',
)
LINK_BYTES = define_metric(
    MetricKind.COUNTER,
    'link_bytes_total',
    'Bytes of frames on links by direction.',
    'direction',
)
DROPPED_REPLIES = define_metric(
    MetricKind.COUNTER,
    'dropped_answers_total',
    'Answers that matched no open request.',
)
INVALID_INPUTS = define_metric(
    MetricKind.COUNTER,
    'invalid_inputs_total',
    'Values of other programs that could not be used, by source.',
    'source',
)
CUT_OFF_RESPONSES = define_metric(
    MetricKind.COUNTER,
    'responses_cut_off_total',
    'Responses of peers that were not read to their end, by reason.',
    'reason',
)
UNSENT_MESSAGES = define_metric(
    MetricKind.COUNTER,
    'link_messages_unsent_total',
    'Messages on links that exceeded a limit, by reason.',
    'reason',
)
UNEXPECTED_ERRORS = define_metric(
    MetricKind.COUNTER,
    'unexpected_errors_total',
    'Unexpected errors by the kind of the unit of work that they ended.',
    'unit',
)
REQUESTS = define_metric(
    MetricKind.COUNTER,
    'http_requests_total',
    'HTTP requests by route and status.',
    'route',
    'status',
)
REQUEST_SECONDS = define_metric(
    MetricKind.HISTOGRAM,
    'http_request_seconds',
    'Time from the request head to the end of the response.',
    'route',
)
OPEN_REQUESTS = define_metric(
    MetricKind.GAUGE, 'http_open_requests', 'Open requests by group.', 'group'
)
OPEN_CONNECTIONS = define_metric(
    MetricKind.GAUGE,
    'http_open_connections',
    'Open connections of callers.',
)
CONNECTION_BYTES = define_metric(
    MetricKind.GAUGE,
    'http_connection_bytes',
    'Memory that the connections of callers and their bodies hold.',
)
CLOSED_CONNECTIONS = define_metric(
    MetricKind.COUNTER,
    'http_closed_connections_total',
    'Connections that the server closed or refused, by reason.',
    'reason',
)
DECISION_SECONDS = define_metric(
    MetricKind.HISTOGRAM,
    'decision_seconds',
    'Time to take one decision.',
    'kind',
)
EVENT_DELAY = define_metric(
    MetricKind.GAUGE,
    'owner_event_delay_seconds',
    'Time by which the owner last handled an event later than it was due.',
)
INBOX_EVENTS = define_metric(
    MetricKind.GAUGE,
    'owner_inbox_events',
    'Events that wait for the owner to handle them.',
)
PASS_SECONDS = define_metric(
    MetricKind.HISTOGRAM,
    'scheduling_pass_seconds',
    'Time that a scheduling pass takes.',
)
PASS_STEPS = define_metric(
    MetricKind.GAUGE,
    'scheduling_pass_steps',
    'Waiting steps at the start of the latest scheduling pass.',
)
APPEND_SECONDS = define_metric(
    MetricKind.HISTOGRAM,
    'journal_append_seconds',
    'Time from a record being handed over to its append being confirmed.',
)
CAPPED_TENANTS = define_metric(
    MetricKind.GAUGE,
    'capped_tenants',
    'Tenants of which steps wait because of their caps.',
)
QUEUE_LENGTH = define_metric(
    MetricKind.GAUGE, 'queue_length', 'Queued jobs by shard.', 'shard'
)
OWNED_SHARDS = define_metric(
    MetricKind.GAUGE, 'owned_shards', 'Shards that this process owns.'
)
CONFIGURATION_VERSION = define_metric(
    MetricKind.GAUGE,
    'configuration_version',
    'Configuration version in force in this process.',
)


class Metrics:
    """The metrics of one process.

    Examples
    --------
    >>> metrics = Metrics()
    >>> metrics.count(DECISIONS, 'place')
    >>> b'decisions_total{kind="place"} 1' in metrics.render()
    True
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._collectors = {
            name: _make_collector(METRICS.find(name), self._registry)
            for name in METRICS
        }

    def count(self, metric: Metric, *labels: str, amount: int = 1) -> None:
        """Add ``amount`` to a counter.

        Parameters
        ----------
        metric : Metric
            A registered counter.
        *labels : str
            One value for each label, in the order of the definition.
        amount : int
            Amount to add; not negative.

        Raises
        ------
        ValueError
            When the number of label values differs from the definition.
        """
        self._collectors[metric.name].add(_map_labels(metric, labels), amount)

    def set_gauge(self, metric: Metric, value: float, *labels: str) -> None:
        """Set a gauge; labels are given as for `count`."""
        self._collectors[metric.name].set(_map_labels(metric, labels), value)

    def observe(self, metric: Metric, seconds: float, *labels: str) -> None:
        """Add a duration in seconds to a histogram; labels as for `count`."""
        self._collectors[metric.name].observe(
            _map_labels(metric, labels), seconds
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format 0.0.4."""
        body: bytes = TextFormatter().marshall(self._registry)
        return body


def _make_collector(metric: Metric, registry: CollectorRegistry) -> Any:
    collector = _COLLECTORS.find(metric.kind)
    return collector(f'{PREFIX}{metric.name}', metric.help, registry=registry)


def _map_labels(metric: Metric, values: tuple[str, ...]) -> dict[str, str]:
    return dict(zip(metric.labels, values, strict=True))
