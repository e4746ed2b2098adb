"""Reports what back ends announce of themselves in their answers."""

from pimentoway.core import call, clock, deployment, log, message, metric
from pimentoway.ops import slot, slotclient

#: The least seconds between two log lines on unreadable notices: a back end
#: may add one to each answer.
UNREADABLE_LOG_SECONDS = 1.0

_LOG = log.Log('notice')


class NoticeReader:
    """Passes notices on to the broker, and logs those that can't be read."""

    def __init__(
        self, slots: slotclient.SlotClient, dialect: call.Dialect
    ) -> None:
        """Use the given components of the node.

        Args:
            slots: The client that reports to the broker.
            dialect: Decodes the platform's HTTP headers.
        """
        self._slots = slots
        self._dialect = dialect
        self._next_log: float = 0

    def read_answer(
        self, engine: deployment.Engine, answer: message.Answer
    ) -> None:
        """Report the notices of an answer that belongs to no attempt.

        Args:
            engine: The back end that gave it.
            answer: The answer, of which the head was read.
        """
        self.read(engine, self._dialect.read_metadata(answer).notices)

    def read(self, engine: deployment.Engine, notices: call.Notices) -> None:
        """Report the notices of an answer.

        Args:
            engine: The back end that gave it.
            notices: What it announces.
        """
        if notices == call.Notices():
            return
        _count(notices)
        if notices.unreadable:
            self._log_unreadable(engine, notices)
        if notices.leaving or notices.pause_seconds:
            self._slots.report_notice(
                slot.EngineNotice(
                    engine.name,
                    engine.address,
                    engine.born,
                    notices.leaving,
                    notices.pause_seconds,
                )
            )

    def _log_unreadable(
        self, engine: deployment.Engine, notices: call.Notices
    ) -> None:
        now = clock.read_monotonic()
        if now < self._next_log:
            return
        self._next_log = now + UNREADABLE_LOG_SECONDS
        _LOG.write(
            'ignores an unreadable notice of a back end.',
            engine=engine.name,
            unreadable=notices.unreadable,
        )


def _count(notices: call.Notices) -> None:
    for name, given in (
        ('leaving', notices.leaving),
        ('pause', notices.pause_seconds),
        ('brittle', notices.tolerated_rejections is not None),
        ('unreadable', notices.unreadable),
    ):
        if given:
            metric.ENGINE_NOTICES.labels(name).inc()
