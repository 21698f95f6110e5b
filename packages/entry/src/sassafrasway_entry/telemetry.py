"""Logging with structlog and metrics with OpenTelemetry."""

import logging
import sys

import prometheus_client
import structlog
from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.exporter.otlp.proto.http import metric_exporter
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import export

from sassafrasway_entry import settings as settings_lib


def configure_logging(section: settings_lib.LoggingSection) -> None:
    """Sets the format and minimum level of log lines, which are written to standard error."""
    renderer = (
        structlog.processors.JSONRenderer()
        if section.format == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.StackInfoRenderer(),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[section.level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )


class Metrics:
    """Metric instruments of an entry instance, whose name is a resource attribute of all metrics.

    Attributes:
        requests: Requests of callers; attributes ``service``, empty when unknown, and ``outcome``.
        latency: Seconds until the response to a caller; the same attributes.
        lookups: Lookups; attribute ``status``.
        violations: Violated invariants; attribute ``rule``.
    """

    def __init__(self, *, instance: str, section: settings_lib.TelemetrySection):
        self._registry = prometheus_client.CollectorRegistry()
        readers: list[export.MetricReader] = [
            # The default registry is global; several instances run in one process in tests.
            prometheus.PrometheusMetricReader(registry=self._registry)
        ]
        if section.otlp_endpoint is not None:
            exporter = metric_exporter.OTLPMetricExporter(endpoint=section.otlp_endpoint)
            readers.append(
                export.PeriodicExportingMetricReader(
                    exporter, export_interval_millis=section.export_interval_s * 1000
                )
            )
        resource = resources.Resource.create(
            {"service.name": "sassafrasway", "service.instance.id": instance}
        )
        self._provider = sdk_metrics.MeterProvider(metric_readers=readers, resource=resource)
        meter = self._provider.get_meter("sassafrasway")
        self.requests = meter.create_counter(
            "sassafrasway.requests", description="Requests of callers by service and outcome"
        )
        self.latency = meter.create_histogram(
            "sassafrasway.request.duration", unit="s", description="Time to answer a caller"
        )
        self.lookups = meter.create_counter(
            "sassafrasway.lookups", description="Look-ups by service and status"
        )
        self.violations = meter.create_counter(
            "sassafrasway.invariant.violations", description="Violated invariants by rule"
        )
        self._meter = meter

    def observe(self, name: str, *, description: str, query) -> None:
        """Registers a gauge.

        ``query`` returns the current values as pairs of a number and a mapping of attributes.
        """

        def callback(options: metrics.CallbackOptions):
            return [metrics.Observation(value, attributes) for value, attributes in query()]

        self._meter.create_observable_gauge(name, callbacks=[callback], description=description)

    def scrape(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def shutdown(self) -> None:
        """Exports the remaining metrics and stops the export."""
        self._provider.shutdown()
