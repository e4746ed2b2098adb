"""Tests of the registry on the platform's store."""

import collections
import dataclasses
import json

import pytest

from pimentoway.core import connection, deployment, error, registry
from pimentoway.platform import store

PEER = deployment.Peer('n1', 'z', '1.2.3.4:5', 1.0)


@dataclasses.dataclass
class FakePool:
    """Answers calls from a list.

    Attributes:
        answers: The answers: a status and a body, or an error.
        calls: The calls that were made.
    """

    answers: collections.deque
    calls: list[connection.Call] = dataclasses.field(default_factory=list)

    def fetch(self, call: connection.Call) -> connection.Answer:
        """Answer a call.

        Args:
            call: The call.

        Returns:
            The next answer.
        """
        self.calls.append(call)
        answer = self.answers.popleft()
        if isinstance(answer, Exception):
            raise answer
        status, body = answer
        return connection.Answer(
            status, 'application/json', json.dumps(body).encode()
        )


def make_registry(
    *answers: object,
) -> tuple[store.PlatformRegistry, FakePool]:
    """Make a registry whose store gives certain answers.

    Args:
        *answers: The answers.

    Returns:
        The registry and the pool that it uses.
    """
    made = store.PlatformRegistry('1.1.1.1:1')
    pool = FakePool(collections.deque(answers))
    made._pool = pool
    return made, pool


def make_object(name: str, **changes: object) -> dict:
    """Make the entry of a node.

    Args:
        name: Its name.
        **changes: What is different.

    Returns:
        The object.
    """
    spec = {'Zone': 'z', 'Address': '1.2.3.4:5', 'Cores': 1.0, **changes}
    return {'Metadata': {'Name': name, 'Revision': 2}, 'Spec': spec}


def test_listing_goes_on_with_the_last_name() -> None:
    """Pages are asked for by name, and the first revision counts."""
    made, pool = make_registry(
        (
            200,
            {
                'Items': [make_object('n1')],
                'HasMore': True,
                'StoreRevision': 5,
            },
        ),
        (200, {'Items': [make_object('n2')], 'StoreRevision': 9}),
    )
    listing = made.list_records(registry.Kind.peers)
    assert listing.revision == 5
    assert set(listing.records_by_name) == {'n1', 'n2'}
    assert pool.calls[1].path.endswith('?AfterRev=n1')


def test_foreign_objects_do_not_hide_others() -> None:
    """Objects that can't be decoded are left out, and the rest holds."""
    made, _ = make_registry(
        (
            200,
            {
                'Items': [
                    'odd',
                    make_object('n1', Zone=5),
                    make_object('n2'),
                ],
                'StoreRevision': 5,
            },
        ),
    )
    listing = made.list_records(registry.Kind.peers)
    assert set(listing.records_by_name) == {'n2'}


def test_torn_object_in_a_watch_is_removed() -> None:
    """An entry that became unreadable names nothing any more."""
    made, _ = make_registry(
        (
            200,
            {
                'events': [
                    {'Removed': False, 'Object': make_object('n1', Zone=5)},
                    {'Removed': True, 'Object': make_object('n2')},
                ],
                'StoreRevision': 9,
            },
        ),
    )
    changes = made.watch_records(registry.Kind.peers, 5, 1)
    assert changes.revision == 9
    assert changes.changes == (
        registry.Change('n1', None),
        registry.Change('n2', None),
    )


@pytest.mark.parametrize(
    ('status', 'kind'),
    [
        (410, error.WatchExpiredError),
        (409, error.PlatformConflictError),
        (429, error.PlatformUnavailableError),
        (503, error.PlatformUnavailableError),
        (404, error.PlatformRefusedError),
        (500, error.PlatformAmbiguousError),
    ],
)
def test_statuses_are_typed_errors(
    status: int, kind: type[error.PlatformError]
) -> None:
    """Each status of the store is an error that says what it means."""
    made, _ = make_registry((status, {}))
    with pytest.raises(kind):
        made.watch_records(registry.Kind.engines, 5, 1)


def test_lost_answer_is_ambiguous() -> None:
    """A write whose answer was lost may have been done."""
    made, _ = make_registry(error.CutError('it broke', 'read'))
    with pytest.raises(error.PlatformAmbiguousError):
        made.remove_peer('n1')


def test_entry_of_an_earlier_run_is_replaced() -> None:
    """A node that starts again overwrites its entry."""
    made, pool = make_registry((409, {}), (200, {}))
    made.put_peer(PEER)
    assert [call.method for call in pool.calls] == ['POST', 'PUT']


def test_report_names_the_revision_of_the_order() -> None:
    """A report on a rollout is refused if the order has changed."""
    made, pool = make_registry((409, {}))
    order = deployment.Rollout('s', 'v2', 12, 'x', '', 77)
    with pytest.raises(error.PlatformConflictError):
        made.report_rollout(order, 'active')
    body = json.loads(pool.calls[0].body)
    assert body['Metadata']['Revision'] == 77
    assert body['Status'] == {'State': 'active', 'Target': 'v2'}
