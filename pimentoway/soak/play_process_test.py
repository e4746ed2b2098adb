"""Short soaks with fixed seeds; docs/SOAK.md says how to run longer ones."""

import pytest

from pimentoway.soak import fault, play

#: Soaks that once violated a guarantee: seed, seconds and number of faults. The
#: causes are in docs/SOAK.md.
FAILED_SOAKS = ((6, 10, 25), (38, 10, 25))


@pytest.mark.parametrize(
    ('seed', 'seconds', 'faults'), [(1, 6, 15), *FAILED_SOAKS]
)
def test_no_guarantee_is_violated(
    seed: int, seconds: float, faults: int
) -> None:
    """Overlapping faults violate no guarantee, and most requests succeed."""
    report = play.run_soak(seed, seconds, faults)
    assert report.endings['exact 200'] > 300
    assert not report.violations, play.format_report(report)


def test_notices_are_heeded_amid_other_faults() -> None:
    """The store is away and nodes restart while engines give notices."""
    report = play.run_plan(
        1,
        [
            fault.StoreAway(0.5, 4, 0),
            fault.EngineSaysLeaving(1, 1, 0),
            fault.EngineSheds(1.2, 3, 1),
            fault.EngineSheds(1.2, 3, 2),
            fault.NodeStopped(1.5, 1, 0),
            fault.NodeKilled(2.2, 0.5, 1),
        ],
    )
    assert report.endings['exact 200'] > 300
    assert not report.violations, play.format_report(report)
