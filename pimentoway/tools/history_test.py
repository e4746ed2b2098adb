"""Tests of finding the log records of a request."""

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


def test_history_includes_broker_records() -> None:
    """The broker's record is found by owner and number, not by number alone."""
    records = history.read_records(LINES)
    found = history.find_history(records, 'r1')
    assert [record.text for record in found] == [
        'broker: granted.',
        'request: done.',
    ]
    assert found[0].fields['engine'] == 'e1'
    assert history.format_record(found[1]).startswith('3.0000 12.0 edge-b')


def test_unknown_request_has_no_history() -> None:
    """An identifier that no log contains has no records."""
    assert not history.find_history(history.read_records(LINES), 'r2')
