"""Tests of a node that was paused between a grant and its use."""

import gevent
import pytest

from pimentoway.ops import slot, slotclient
from pimentoway.platform import edge_process_test, scripted_engine

#: Longer than the time limits of the routes that the test calls.
PAUSE_SECONDS = 0.8


class PausedClient:
    """A client of the broker whose process is paused after each grant."""

    def __init__(self, slots: slotclient.SlotClient) -> None:
        """Use the client of a node.

        Args:
            slots: The client.
        """
        self._acquire = slots.acquire_slot

    def acquire(self, request: slot.SlotRequest) -> str:
        """Request a slot, and pause before the grant is used.

        Args:
            request: The slot request.

        Returns:
            The name of the back end.
        """
        granted = self._acquire(request)
        gevent.sleep(PAUSE_SECONDS)
        return granted


# A process is stopped for seconds, or gets no processor time, after the broker
# has granted a slot. Meanwhile the time limit of the request passes.
@pytest.mark.parametrize('path', ['/quick/x', '/brief/x'])
def test_grant_is_not_used_after_the_deadline(
    monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    """The request is not sent, and its caller is told so."""
    engine = scripted_engine.ScriptedEngine('e1')
    harness = edge_process_test.NodeHarness(engine)
    paused = PausedClient(harness.node.slots)
    monkeypatch.setattr(harness.node.slots, 'acquire_slot', paused.acquire)
    assert harness.call(path)[0] == 503
    assert not engine.requests
    monkeypatch.undo()
    assert harness.call('/safe/x')[0] == 200
