"""Tests of the framing of messages between nodes."""

import pytest
from hypothesis import given, strategies

from pimentoway.core import deployment, error, registry
from pimentoway.nodes import frame
from pimentoway.ops import slot, view

Kind = registry.Kind
MESSAGES = (
    slot.Grant(1, 'e1'),
    slot.Refusal(2, slot.Reason.overloaded, 0.5),
    frame.Heartbeat([1, 2, 3]),
    frame.RecordQuery('engines', 4),
    slot.Report(3, slot.Outcome.cut, 0.1, 0.2, 5),
)


def make_engine(name: str) -> deployment.Engine:
    """Make the record of a back end.

    Args:
        name: Its name.

    Returns:
        The record.
    """
    return deployment.Engine(
        name, 's', '1.1.1.1:1', 'z', 'v1', 6, False, 0.5, 1
    )


def change_engine(
    node_view: view.View, revision: int, name: str, removed: bool
) -> None:
    """Write or remove the record of a back end.

    Args:
        node_view: The view to update.
        revision: The new revision.
        name: The name of the back end.
        removed: Whether to remove the record.
    """
    record = None if removed else make_engine(name)
    node_view.apply_changes(
        Kind.engines,
        registry.Changes(revision, (registry.Change(name, record),)),
        'test',
    )


@given(strategies.lists(strategies.integers(0, 120), max_size=8))
def test_reader_accepts_any_split_of_the_stream(cuts: list[int]) -> None:
    """However the bytes are split, messages are complete and in order."""
    stream = b''.join(map(frame.encode, MESSAGES))
    reader = frame.FrameReader()
    decoded = []
    start = 0
    ends = [*sorted(min(cut, len(stream)) for cut in cuts), len(stream)]
    for end in ends:
        decoded.extend(reader.feed(stream[start:end]))
        start = end
    assert tuple(decoded) == MESSAGES


@given(strategies.binary(min_size=1, max_size=60))
def test_undecodable_frame_raises_node_error(garbage: bytes) -> None:
    """Random bytes are decoded or fail in the step ``decode``."""
    framed = len(garbage).to_bytes(4, 'big') + garbage
    try:
        frame.FrameReader().feed(framed)
    except error.NodeError as fault:
        assert fault.step == 'decode'


def test_oversized_frame_raises_node_error() -> None:
    """A length above ``MAX_FRAME_BYTES`` is an error."""
    with pytest.raises(error.NodeError):
        frame.FrameReader().feed(b'\xff\xff\xff\xff')


def test_node_slightly_behind_gets_only_changes() -> None:
    """Only the records changed after the receiver's revision are sent."""
    sender = view.View()
    for number in range(1, 9):
        change_engine(sender, number, f'e{number}', removed=False)
    receiver = view.View()
    message = frame.encode_records(sender, Kind.engines, 0)
    frame.apply_records(message, receiver, 'peer')
    assert set(receiver.engines_by_name) == set(sender.engines_by_name)
    change_engine(sender, 10, 'e1', removed=True)
    change_engine(sender, 12, 'e9', removed=False)
    message = frame.encode_records(sender, Kind.engines, 8)
    assert not message.is_snapshot
    assert message.removed == ['e1']
    frame.apply_records(message, receiver, 'peer')
    assert receiver.engines_by_name == sender.engines_by_name
    assert receiver.revision_by_kind == sender.revision_by_kind


def test_node_far_behind_gets_a_snapshot() -> None:
    """All records are sent once the history is too short."""
    sender = view.View()
    receiver = view.View()
    change_engine(receiver, 1, 'old', removed=False)
    for number in range(2, view.KEPT_CHANGES + 9):
        change_engine(sender, number, 'e', removed=False)
    message = frame.encode_records(sender, Kind.engines, 1)
    assert message.is_snapshot
    frame.apply_records(message, receiver, 'peer')
    assert set(receiver.engines_by_name) == {'e'}


def test_configuration_is_unchanged_by_encoding() -> None:
    """A configuration sent to another node equals the original there."""
    route = deployment.Route(
        'r',
        'h',
        '/a/',
        deployment.RouteKind.stream,
        (deployment.Share('s', 1),),
        2,
        3,
        0.5,
        0.3,
        1,
        False,
        True,
    )
    customer = deployment.Customer('c', ('k',), 1, 10, 20, True, 5)
    configuration = deployment.Deployment(
        7,
        (route,),
        {'s': deployment.Service('s', 9, 17, 6)},
        {'c': customer},
        deployment.CallerLimits(),
    )
    sender = view.View()
    sender.apply_changes(
        Kind.configuration,
        registry.Changes(3, (registry.Change('main', configuration),)),
        'test',
    )
    assert configuration.find_route('h', '/a/b') is route
    receiver = view.View()
    message = frame.encode_records(sender, Kind.configuration, 0)
    frame.apply_records(message, receiver, 'peer')
    assert receiver.deployment == configuration


def test_unknown_kind_raises_node_error() -> None:
    """Records of an unknown kind are an error."""
    with pytest.raises(error.NodeError):
        frame.apply_records(
            frame.Records('odd', 1, b'\x80', [], is_snapshot=True),
            view.View(),
            'peer',
        )
