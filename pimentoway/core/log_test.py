"""Tests of writing log lines."""

import eliot
import pytest

from pimentoway.core import log


@pytest.mark.parametrize(
    'odd', [['\ud800'], [10**26], [10**5000], [b'\xff'], [{'\ud800': 1}]]
)
def test_value_that_cannot_be_encoded_is_no_error(
    odd: list, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A line about what another writer sent must not end the task."""
    destinations = []
    monkeypatch.setattr(eliot, 'add_destinations', destinations.append)
    lines: list[bytes] = []
    log.open_sink(FakeSink(lines))
    eliot.Logger._destinations.add(destinations[0])
    try:
        log.Log('test').write('reads.', odd=odd)
    finally:
        eliot.remove_destination(destinations[0])
    assert lines


class FakeSink:
    """Collects lines."""

    def __init__(self, lines: list[bytes]) -> None:
        """Set the list.

        Args:
            lines: Gets the lines.
        """
        self.write = lines.append
