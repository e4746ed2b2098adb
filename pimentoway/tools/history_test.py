"""Tests of putting a request's history together."""

from pimentoway.tools import history

LINES = (
    '12.1 edge-a {"text":"broker: granted.","timestamp":2.0,"owner":"b/1",'
    '"number":7,"engine":"e1"}',
    '12.0 edge-b {"text":"request: done.","timestamp":3.0,"request_id":"r1",'
    '"owner":"b/1","numbers":[7],"outcome":"answered"}',
    '12.0 edge-a {"text":"broker: granted.","timestamp":2.5,"owner":"c/1",'
    '"number":7,"engine":"e2"}',
    'no log line {at all',
    '',
)


def test_history_joins_the_node_and_the_broker() -> None:
    """A request's identifier leads to the broker's decision."""
    steps = history.read_steps(LINES)
    found = history.find_history(steps, 'r1')
    assert [step.text for step in found] == [
        'broker: granted.',
        'request: done.',
    ]
    assert found[0].fields['engine'] == 'e1'
    assert history.format_step(found[1]).startswith('3.0000 12.0 edge-b')


def test_unknown_request_has_no_history() -> None:
    """An identifier that nobody saw has no steps."""
    assert not history.find_history(history.read_steps(LINES), 'r2')
