"""The time that requests get while a node drains."""

import math

from pimentoway.core import call, clock, deployment, error

#: Seconds after which a caller may retry at another node.
RETRY_SECONDS = 0.1


class DrainLimit:
    """Ends all requests before their node does.

    Attributes:
        end: The monotonic time by which requests must have ended; infinite
            until the node drains.
        closed: Whether the node accepts no more connections, so that callers
            reach other nodes.
    """

    def __init__(self) -> None:
        """Start without a limit."""
        self.end = math.inf
        self.closed = False

    def check_expected_end(
        self,
        route: deployment.Route,
        request: call.CallerRequest,
        time_limit: float,
    ) -> None:
        """Refuse a request that came late and would probably be cut.

        Args:
            route: The route of the request.
            request: The request, which was just read.
            time_limit: The monotonic time at which it ends in any case.

        Raises:
            ShutdownError: If connections are no longer accepted and the
                request is expected to last longer than the node.
        """
        expected = clock.read_monotonic() + estimate_seconds(route, request)
        if self.closed and min(expected, time_limit) > self.end:
            raise error.ShutdownError(
                'the request would outlast the node',
                'admit',
                retry_after=RETRY_SECONDS,
            )


def estimate_seconds(
    route: deployment.Route, request: call.CallerRequest
) -> float:
    """Estimate how long a request lasts, from the targets of its route.

    Args:
        route: The route.
        request: The request.

    Returns:
        The seconds until the end of its answer.
    """
    token_counts = request.token_counts or call.TokenCounts()
    output_tokens = token_counts.estimate_output() or token_counts.output_tokens
    return route.goal + route.gap * output_tokens


def make_interruption() -> error.ShutdownError:
    """Make the error that ends a request when its node stops.

    Returns:
        The error.
    """
    return error.ShutdownError(
        'the node stops', 'serve', retry_after=RETRY_SECONDS
    )
