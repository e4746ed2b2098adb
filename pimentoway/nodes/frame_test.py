"""Tests of the messages between nodes."""

import pytest
from hypothesis import given, strategies

from pimentoway.core import deployment, error, registry
from pimentoway.nodes import frame
from pimentoway.ops import ask, view

Kind = registry.Kind
MESSAGES = (
    ask.Grant(1, 'e1'),
    ask.Refusal(2, ask.Reason.overloaded, 0.5),
    frame.Beat([1, 2, 3]),
    frame.Want('engines', 4),
    ask.Report(3, ask.Outcome.cut, 0.1, 0.2, 5),
)


def make_engine(name: str) -> deployment.Engine:
    """Make an entry of a back end.

    Args:
        name: Its name.

    Returns:
        The entry.
    """
    return deployment.Engine(
        name, 's', '1.1.1.1:1', 'z', 'v1', 6, False, 0.5, 1
    )


def change(known: view.View, revision: int, name: str, gone: bool) -> None:
    """Change an entry.

    Args:
        known: The view.
        revision: The revision.
        name: The name of the entry.
        gone: Whether it is removed.
    """
    record = None if gone else make_engine(name)
    known.take_changes(
        Kind.engines,
        registry.Changes(revision, (registry.Change(name, record),)),
        'test',
    )


@given(strategies.lists(strategies.integers(0, 120), max_size=8))
def test_any_split_gives_the_same_messages(cuts: list[int]) -> None:
    """However the network cuts them, messages come whole and in order."""
    raw = b''.join(map(frame.encode, MESSAGES))
    reader = frame.FrameReader()
    seen = []
    start = 0
    ends = [*sorted(min(cut, len(raw)) for cut in cuts), len(raw)]
    for end in ends:
        seen.extend(reader.feed(raw[start:end]))
        start = end
    assert tuple(seen) == MESSAGES


@given(strategies.binary(min_size=1, max_size=60))
def test_garbage_is_a_node_error(garbage: bytes) -> None:
    """Bytes that are no message are reported as such."""
    framed = len(garbage).to_bytes(4, 'big') + garbage
    try:
        frame.FrameReader().feed(framed)
    except error.NodeError as fault:
        assert fault.step == 'decode'


def test_huge_frames_are_refused() -> None:
    """A length that nobody sends ends the connection."""
    with pytest.raises(error.NodeError):
        frame.FrameReader().feed(b'\xff\xff\xff\xff')


def test_a_node_that_is_behind_gets_only_changes() -> None:
    """Later changes are told without the records that are known."""
    known = view.View()
    for number in range(1, 9):
        change(known, number, f'e{number}', gone=False)
    other = view.View()
    content = frame.pack_records(known, Kind.engines, 0)
    frame.take_records(content, other, 'peer')
    assert set(other.engines_by_name) == set(known.engines_by_name)
    change(known, 10, 'e1', gone=True)
    change(known, 12, 'e9', gone=False)
    content = frame.pack_records(known, Kind.engines, 8)
    assert not content.whole
    assert content.removed == ['e1']
    frame.take_records(content, other, 'peer')
    assert other.engines_by_name == known.engines_by_name
    assert other.revision_by_kind == known.revision_by_kind


def test_a_node_far_behind_gets_all() -> None:
    """What is beyond the kept changes is told whole."""
    known = view.View()
    other = view.View()
    change(other, 1, 'old', gone=False)
    for number in range(2, view.KEPT_CHANGES + 9):
        change(known, number, 'e', gone=False)
    content = frame.pack_records(known, Kind.engines, 1)
    assert content.whole
    frame.take_records(content, other, 'peer')
    assert set(other.engines_by_name) == {'e'}


def test_configuration_survives_the_way() -> None:
    """A configuration that a node relays is the same at the other."""
    route = deployment.Route(
        'r',
        'h',
        '/a/',
        deployment.Kind.stream,
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
    held = deployment.Deployment(
        7,
        (route,),
        {'s': deployment.Service('s', 9, 17, 6)},
        {'c': customer},
        deployment.CallerLimits(),
    )
    known = view.View()
    known.take_changes(
        Kind.configuration,
        registry.Changes(3, (registry.Change('main', held),)),
        'test',
    )
    assert held.find_route('h', '/a/b') is route
    other = view.View()
    content = frame.pack_records(known, Kind.configuration, 0)
    frame.take_records(content, other, 'peer')
    assert other.deployment == held


def test_unknown_kinds_are_a_node_error() -> None:
    """Records of a kind that is not known are reported as such."""
    with pytest.raises(error.NodeError):
        frame.take_records(
            frame.Records('odd', 1, b'\x80', [], whole=True),
            view.View(),
            'peer',
        )
