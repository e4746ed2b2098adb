"""Tracing by OpenTelemetry, with a span for each hop of a request.

The latest spans are kept in memory, so that the hops of a request can be
listed without a collector. If an endpoint is configured, spans are exported
to it as well.
"""

import collections

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http import trace_exporter
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import export
from opentelemetry.trace.propagation import tracecontext

#: The most spans kept in memory.
MAX_SPANS = 5000

#: The span attribute that holds the identifier of the request.
REQUEST_ATTRIBUTE = 'request_id'

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
_NANOSECONDS = 1_000_000_000


class SpanMemory(export.SpanExporter):
    """Keeps the latest spans in memory, to list the hops of a request."""

    def __init__(self) -> None:
        """Start without spans."""
        self._spans: collections.deque = collections.deque(maxlen=MAX_SPANS)

    def export(self, spans) -> export.SpanExportResult:
        """Add ended spans and drop the oldest ones beyond ``MAX_SPANS``.

        Args:
            spans: The spans.

        Returns:
            Success.
        """
        self._spans.extend(spans)
        return export.SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Drop all spans."""
        self._spans.clear()

    def list_hops(self, request_id: str) -> list[dict[str, object]]:
        """List the hops of a request.

        Args:
            request_id: The identifier of the request.

        Returns:
            For each span its name, its start in seconds since the epoch, its
            duration in seconds, its attributes and its status.
        """
        return [
            {
                'hop': span.name,
                'start': span.start_time / _NANOSECONDS,
                'seconds': (span.end_time - span.start_time) / _NANOSECONDS,
                'attributes': dict(span.attributes),
                'status': span.status.status_code.name,
            }
            for span in self._spans
            if span.attributes.get(REQUEST_ATTRIBUTE) == request_id
        ]


class Tracer:
    """The tracer of a node.

    Attributes:
        memory: The latest spans.
    """

    def __init__(self, node: str, endpoint: str = '') -> None:
        """Start tracing.

        Args:
            node: The name of the node.
            endpoint: The URL for export by OTLP over HTTP; '' for no export.
        """
        self.memory = SpanMemory()
        self._provider = sdk_trace.TracerProvider(
            resource=Resource.create(
                {'service.name': 'pimentoway', 'service.instance.id': node},
            ),
        )
        self._provider.add_span_processor(
            export.SimpleSpanProcessor(self.memory),
        )
        if endpoint:
            exporter = trace_exporter.OTLPSpanExporter(endpoint=endpoint)
            self._provider.add_span_processor(
                export.BatchSpanProcessor(exporter),
            )
        self._tracer = self._provider.get_tracer('pimentoway')

    def begin(
        self, hop: str, request_id: str, traceparent: str = ''
    ) -> trace.Span:
        """Begin a span.

        Args:
            hop: The name of the hop.
            request_id: The identifier of the request.
            traceparent: The trace context received with the request; '' to
                begin a new trace.

        Returns:
            The span; the caller must end it.
        """
        carrier = {'traceparent': traceparent} if traceparent else {}
        return self._tracer.start_span(
            hop,
            context=_PROPAGATOR.extract(carrier),
            attributes={REQUEST_ATTRIBUTE: request_id},
        )

    def close(self) -> None:
        """Export the remaining spans and stop."""
        self._provider.shutdown()


def format_parent(span: trace.Span) -> str:
    """Format the trace context for the next hop.

    Args:
        span: The span.

    Returns:
        The value of the ``traceparent`` header.
    """
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, trace.set_span_in_context(span))
    return carrier.get('traceparent', '')
