"""Tests of the statistics of a route."""

import pytest

from pimentoway.ops import routestats, slot
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


def test_demand_includes_unserved_long_answers() -> None:
    """Only short answers are served: the demand counts the long ones too."""
    stats = routestats.RouteStats()
    report = slot.Report(1, slot.Outcome.answered, 0.1, 0.2, 1)
    short = slotrequest.make_slot_request(1, output_tokens=10)
    long = slotrequest.make_slot_request(2, output_tokens=190)
    for _ in range(200):
        stats.record_answer(short, report)
    for request in (short, long) * 100:
        stats.recent_requests = 1
        stats.record_work(request)
    demand = stats.estimate_slot_demand() / routestats.DECAY_RATE
    assert demand == pytest.approx(0.1 + 0.01 * 100, rel=0.2)
