"""Tests of the statistics of a route."""

import pytest

from pimentoway.ops import routestats
from pimentoway.standin import slotrequest


@pytest.mark.parametrize(
    ('tokens', 'expected'),
    [
        (40, routestats.LengthClass.short),
        (100, routestats.LengthClass.typical),
        (250, routestats.LengthClass.long),
        (0, routestats.LengthClass.typical),
    ],
)
def test_length_class_counts_unserved_requests(
    tokens: int, expected: routestats.LengthClass
) -> None:
    """Refusals of long answers: the average counts unserved requests too."""
    stats = routestats.RouteStats()
    for number in range(10):
        stats.record_length(
            slotrequest.make_slot_request(number, output_tokens=100)
        )
    request = slotrequest.make_slot_request(10, output_tokens=tokens)
    assert stats.classify_length(request) is expected
