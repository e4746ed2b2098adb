"""The history of one request, put together from the log lines of many nodes."""

import collections
import dataclasses

import msgspec

#: The fields of a line that say nothing about what happened.
PLAIN_FIELDS = frozenset(
    ('text', 'timestamp', 'task_uuid', 'task_level', 'message_type'),
)


@dataclasses.dataclass(frozen=True)
class Step:
    """A line of the log that concerns a request.

    Attributes:
        time: The time of day, in seconds since the epoch.
        source: What stood before the line, such as the name of the node.
        text: What happened.
        fields: The inputs and the outcome.
    """

    time: float
    source: str
    text: str
    fields: dict[str, object]


def read_steps(lines: collections.abc.Iterable[str]) -> list[Step]:
    """Read log lines, passing over what is none.

    Args:
        lines: The lines; something may stand before each.

    Returns:
        The steps.
    """
    steps = []
    for line in lines:
        source, brace, rest = line.partition('{')
        try:
            raw = msgspec.json.decode(f'{brace}{rest}', type=dict[str, object])
        except msgspec.MsgspecError:
            # Other programs write to the same place.
            continue
        fields = {
            name: content
            for name, content in raw.items()
            if name not in PLAIN_FIELDS
        }
        steps.append(
            Step(
                float(raw.get('timestamp', 0)),
                source.strip(),
                str(raw.get('text', '')),
                fields,
            ),
        )
    return steps


def find_history(steps: list[Step], request_id: str) -> list[Step]:
    """Find the steps of a request, at its node and at its broker.

    Args:
        steps: The steps of all nodes.
        request_id: The identifier of the request.

    Returns:
        Its steps in the order of time.
    """
    own = [
        step for step in steps if step.fields.get('request_id') == request_id
    ]
    asks = {
        (step.fields.get('owner'), number)
        for step in own
        for number in step.fields.get('numbers', ())
    }
    brokered = [
        step
        for step in steps
        if (step.fields.get('owner'), step.fields.get('number')) in asks
    ]
    return sorted(own + brokered, key=lambda step: step.time)


def format_step(step: Step) -> str:
    """Format a step as a line.

    Args:
        step: The step.

    Returns:
        The line.
    """
    fields = ' '.join(
        f'{name}={content}' for name, content in step.fields.items()
    )
    return f'{step.time:.4f} {step.source} {step.text} {fields}'
