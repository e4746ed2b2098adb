"""Structured logging by eliot, with a prefix for each component."""

import typing

import eliot
import msgspec

from pimentoway.core import logsink


class Log:
    """The log of one component.

    Attributes:
        component: The prefix of the component, such as ``dispatch``.
    """

    def __init__(self, component: str) -> None:
        """Set the prefix.

        Args:
            component: The prefix of the component.
        """
        self.component = component

    def write(self, text: str, request_id: str = '', **fields: object) -> None:
        """Write one line.

        Args:
            text: A short sentence.
            request_id: The identifier of the request; '' if the line concerns
                none.
            **fields: Further fields of the line.
        """
        if request_id:
            fields['request_id'] = request_id
        eliot.log_message(
            message_type=self.component,
            text=f'{self.component}: {text}',
            **fields,
        )


def open_stream(stream: typing.TextIO) -> None:
    """Send all log lines to a stream as JSON.

    Args:
        stream: The stream.
    """
    eliot.to_file(stream)


def open_sink(sink: logsink.LogSink) -> None:
    """Send all log lines to a sink as JSON.

    Args:
        sink: The sink.
    """
    encoder = msgspec.json.Encoder(enc_hook=str)
    eliot.add_destinations(
        lambda line: sink.write(b'%s\n' % encoder.encode(line)),
    )
