"""The interface through which a node counts what engines begin.

The classes here count nothing; ``duties.usagecount`` has the ones that do.
"""


class RunUsage:
    """The usage of one run at an engine."""

    def note_output(self) -> None:
        """Record that the first event, or an answer, has just come."""

    def note_unknown(self) -> None:
        """Record that the run may have begun, but its outcome is not known."""

    def note_left(self) -> None:
        """Record that this node ended the run before an answer began."""

    def cancel(self) -> None:
        """Record that the run has not begun.

        If output comes nevertheless, it is counted.
        """


class UsageObserver:
    """Is told of the runs of a node."""

    def open_run(
        self, customer: str, is_stream: bool, delay: float
    ) -> RunUsage:
        """Record that a request is being sent to an engine.

        Args:
            customer: The name of the customer; '' for none.
            is_stream: Whether the run begins with the first token of a stream,
                and not with the start of the work.
            delay: The network delay to the engine, in seconds one way.

        Returns:
            The run, which is told what comes of it.
        """
        return RunUsage()
