"""Traces: a span for each hop of a request, by OpenTelemetry.

The latest spans are kept in memory, so that one request's hops can be seen
without a collector; with an endpoint configured they are exported as well.
"""

import collections

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http import trace_exporter
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import export
from opentelemetry.trace.propagation import tracecontext

#: The spans that are kept in memory.
KEPT_SPANS = 5000

#: The attribute that names the request.
REQUEST_ATTRIBUTE = 'request_id'

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
_NANOSECONDS = 1_000_000_000


class SpanMemory(export.SpanExporter):
    """Keeps the latest spans, for the status of one request."""

    def __init__(self) -> None:
        """Start without spans."""
        self._spans: collections.deque = collections.deque(maxlen=KEPT_SPANS)

    def export(self, spans) -> export.SpanExportResult:
        """Keep spans that ended.

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
            The name, start, length in seconds and attributes of each span.
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
            endpoint: The URL that takes OTLP over HTTP, or nothing.
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
            traceparent: The context that came with the request.

        Returns:
            The span, which the caller has to end.
        """
        carrier = {'traceparent': traceparent} if traceparent else {}
        return self._tracer.start_span(
            hop,
            context=_PROPAGATOR.extract(carrier),
            attributes={REQUEST_ATTRIBUTE: request_id},
        )

    def close(self) -> None:
        """Export what is left."""
        self._provider.shutdown()


def format_parent(span: trace.Span) -> str:
    """Format a span as context for the next hop.

    Args:
        span: The span.

    Returns:
        The text of a ``traceparent`` header.
    """
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, trace.set_span_in_context(span))
    return carrier.get('traceparent', '')
