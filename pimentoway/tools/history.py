"""The history of one request, collected from the logs of many nodes."""

import collections
import dataclasses

import msgspec

#: The fields that every log record has; they are not shown as details.
COMMON_FIELDS = frozenset(
    ('text', 'timestamp', 'task_uuid', 'task_level', 'message_type'),
)


@dataclasses.dataclass(frozen=True)
class LogRecord:
    """A decoded line of a log.

    Attributes:
        time: The wall-clock time, in seconds; 0 if the line has none.
        source: The text before the JSON object, such as the name of the node.
        text: The message.
        fields: The other fields, by their names.
    """

    time: float
    source: str
    text: str
    fields: dict[str, object]


def read_records(lines: collections.abc.Iterable[str]) -> list[LogRecord]:
    """Decode log lines; lines without a JSON object are skipped.

    Args:
        lines: The lines; each may have a prefix before the JSON object.

    Returns:
        The records in the order of the lines.
    """
    records = []
    for line in lines:
        source, brace, rest = line.partition('{')
        try:
            raw = msgspec.json.decode(f'{brace}{rest}', type=dict[str, object])
        except msgspec.MsgspecError:
            # Other programs may write to the same log.
            continue
        fields = {
            name: content
            for name, content in raw.items()
            if name not in COMMON_FIELDS
        }
        records.append(
            LogRecord(
                float(raw.get('timestamp', 0)),
                source.strip(),
                str(raw.get('text', '')),
                fields,
            ),
        )
    return records


def find_history(records: list[LogRecord], request_id: str) -> list[LogRecord]:
    """Find the records of a request.

    The node that serves the request logs its identifier together with its own
    name (``owner``) and the numbers of its slot requests. A broker logs only
    the owner and the number.

    Args:
        records: The records of all nodes.
        request_id: The identifier of the request.

    Returns:
        The records of the node and of its brokers, in the order of time.
    """
    node_records = [
        record
        for record in records
        if record.fields.get('request_id') == request_id
    ]
    slot_requests = {
        (record.fields.get('owner'), number)
        for record in node_records
        for number in record.fields.get('numbers', ())
    }
    broker_records = [
        record
        for record in records
        if (record.fields.get('owner'), record.fields.get('number'))
        in slot_requests
    ]
    return sorted(node_records + broker_records, key=lambda record: record.time)


def format_record(record: LogRecord) -> str:
    """Format a record as a line for operators.

    Args:
        record: The record.

    Returns:
        The time, the source, the message and the fields.
    """
    fields = ' '.join(
        f'{name}={content}' for name, content in record.fields.items()
    )
    return f'{record.time:.4f} {record.source} {record.text} {fields}'
