"""Tests of the sequential judgement of versions."""

import random

import pytest

from pimentoway.core import evidence
from pimentoway.ops import verdict
from pimentoway.standin import paused_loop

_NEW = verdict.Subject('text', 'v2', 'captions')
_OLD = verdict.Subject('text', 'v1', 'captions')


def count_answers(rate: float, usual: float, seed: int, most: int) -> int:
    """Count the answers of a new version until it is found to be bad.

    Args:
        rate: Its rate of bad answers.
        usual: The old version's rate.
        seed: The seed of the random numbers.
        most: The answers after which to give up.

    Returns:
        The answers, or ``most`` if it was not found to be bad.
    """
    draw = random.Random(seed)
    book = verdict.Book('node')
    for number in range(most):
        for _ in range(5):
            book.observe(_OLD, 'v1', good=draw.random() >= usual)
        book.observe(_NEW, 'v1', good=draw.random() >= rate)
        if book.find_bad('text', 'v2'):
            return number + 1
    return most


@pytest.mark.parametrize('usual', [0, 0.02, 0.1])
def test_good_version_is_not_blamed(usual: float) -> None:
    """A version as good as the old one raises no alarm."""
    for seed in range(20):
        assert count_answers(usual, usual, seed, 1000) == 1000


@pytest.mark.parametrize('rate', [0.5, 1])
def test_bad_version_is_found(rate: float) -> None:
    """A version that often fails is found in some tens of answers."""
    for seed in range(20):
        assert count_answers(rate, 0.02, seed, 1000) < 40


def test_version_on_one_route_is_found() -> None:
    """A version that is bad on one service only is found there."""
    book = verdict.Book('node')
    other = verdict.Subject('text', 'v2', 'replies')
    for _ in range(100):
        book.observe(_NEW, 'v1', good=True)
    for _ in range(10):
        book.observe(other, 'v1', good=False)
    assert book.find_bad('text', 'v2') == 'replies'


def test_counts_of_nodes_add_up() -> None:
    """Counts of several nodes add up, and late or doubled ones do not."""
    book = verdict.Book('node')
    for node in range(8):
        tally = evidence.Tally(
            f'node-{node}', 'text', 'v2', 'captions', 0, 1, 10
        )
        assert book.record(tally, 'v1')
        assert not book.record(tally, 'v1')
    assert book.find_bad('text', 'v2') == 'captions'


def test_bad_answers_are_told_soon() -> None:
    """Counts with bad answers are told each second, others each minute."""
    book = verdict.Book('node')
    book.observe(_NEW, 'v1', good=True)
    assert len(book.list_news()) == 1
    paused_loop.advance(verdict.TELL_SECONDS)
    book.observe(_NEW, 'v1', good=True)
    assert not book.list_news()
    book.observe(_NEW, 'v1', good=False)
    paused_loop.advance(verdict.TELL_SECONDS)
    assert book.list_news()[0].bad == 1
