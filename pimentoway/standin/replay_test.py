"""Replays every recorded trace and checks its expected outcomes."""

import pathlib

import pytest

from pimentoway.standin import replay

_TRACE_FOLDER = pathlib.Path(__file__).parents[2] / 'traces'


@pytest.mark.parametrize(
    'path',
    sorted(_TRACE_FOLDER.glob('*.json')),
    ids=lambda path: path.stem,
)
def test_trace_has_its_expected_outcomes(path: pathlib.Path) -> None:
    """The outcomes of a trace keep the limits stated in its file."""
    assert not replay.replay(replay.read_trace(path))
