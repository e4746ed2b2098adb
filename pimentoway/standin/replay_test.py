"""Replays every recorded trace against the outcomes stated with it."""

import pathlib

import pytest

from pimentoway.standin import replay

_FOLDER = pathlib.Path(__file__).parents[2] / 'traces'


@pytest.mark.parametrize(
    'path',
    sorted(_FOLDER.glob('*.json')),
    ids=lambda path: path.stem,
)
def test_trace(path: pathlib.Path) -> None:
    """What comes of a trace is what was stated."""
    assert not replay.replay(replay.read_trace(path))
