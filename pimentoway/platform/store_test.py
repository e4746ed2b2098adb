"""Tests of the registry on the platform's store."""

import collections
import dataclasses
import itertools
import json
import time

import gevent
import pytest

from pimentoway.core import connection, deployment, error, registry
from pimentoway.platform import store, store_answer
from pimentoway.standin import paused_loop

PEER = deployment.Peer('n1', 'z', '1.2.3.4:5', 1.0)


@dataclasses.dataclass
class FakePool:
    """A connection pool that returns prepared answers in order.

    Attributes:
        answers: What the next calls get: a status, a JSON body, decoded or as
            bytes, and, if any, the era of the store, or an error to raise.
        calls: The calls made so far.
    """

    answers: collections.deque
    calls: list[connection.Call] = dataclasses.field(default_factory=list)

    def fetch(self, call: connection.Call) -> connection.Answer:
        """Return or raise the next prepared answer.

        Args:
            call: The call, which is recorded.

        Returns:
            The answer.
        """
        self.calls.append(call)
        answer = self.answers.popleft()
        if isinstance(answer, Exception):
            raise answer
        status, body, *eras = answer
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        return connection.Answer(
            status,
            'application/json',
            body,
            dict.fromkeys([store.ERA_HEADER][: len(eras)], str(*eras)),
        )


def make_registry(
    *answers: object,
) -> tuple[store.PlatformRegistry, FakePool]:
    """Make a registry whose store gives prepared answers.

    Args:
        *answers: As in ``FakePool.answers``.

    Returns:
        The registry and its fake pool.
    """
    platform_registry = store.PlatformRegistry('1.1.1.1:1')
    pool = FakePool(collections.deque(answers))
    platform_registry._pool = pool
    return platform_registry, pool


def make_object(name: str, **changes: object) -> dict:
    """Make the stored object of a node.

    Args:
        name: The name of the node.
        **changes: Keys of its ``Spec`` that differ from the default.

    Returns:
        The object as the store sends it.
    """
    spec = {'Zone': 'z', 'Address': '1.2.3.4:5', 'Cores': 1.0, **changes}
    return {'Metadata': {'Name': name, 'Revision': 2}, 'Spec': spec}


def test_listing_continues_after_the_last_name() -> None:
    """The next page is requested by name, and the first revision is kept."""
    platform_registry, pool = make_registry(
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
    listing = platform_registry.list_records(registry.Kind.peers)
    assert listing.revision == 5
    assert set(listing.records_by_name) == {'n1', 'n2'}
    assert pool.calls[1].path.endswith('?AfterRev=n1')


def test_undecodable_objects_are_not_listed() -> None:
    """The objects that can be decoded are still listed."""
    platform_registry, _ = make_registry(
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
    listing = platform_registry.list_records(registry.Kind.peers)
    assert set(listing.records_by_name) == {'n2'}


def test_undecodable_object_in_watch_is_removed() -> None:
    """A watch reports it like a removed object."""
    platform_registry, _ = make_registry(
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
    changes = platform_registry.watch_records(registry.Kind.peers, 5, 1)
    assert changes.revision == 9
    assert changes.changes == (
        registry.Change('n1', None),
        registry.Change('n2', None),
    )


#: Values that the JSON library refuses, each at another place.
UNREADABLE_VALUES = (
    b'%s1%s' % (b'[' * 100_000, b']' * 100_000),
    b'%s1%s' % (b'{"a":' * 100_000, b'}' * 100_000),
    b'"%sud800"' % b'\\',
    b'{"%sud800": 1}' % b'\\',
    b'"\xff"',
    b'{"\xff": 1}',
    b'1%s' % (b'0' * 5000),
    b'1e999',
)
UNREADABLE_OBJECTS = (
    b'{"Metadata":{"Name":"odd"},"Spec":%s}',
    b'{"Metadata":{"Name":"odd"},"Spec":{"Zone":"z","Cores":1.0,"Address":%s}}',
    b'{"Metadata":{"Name":"odd"},"Other":%s,"Spec":{}}',
    b'{"Metadata":{"Other":%s,"Name":"odd"},"Spec":{}}',
    b'{"Metadata":{"Name":"odd","Revision":%s},"Spec":{}}',
)


def list_odd_objects() -> list[bytes]:
    """List objects that can't be decoded, whose names can be.

    Returns:
        Their JSON texts.
    """
    return [
        template % odd
        for template in UNREADABLE_OBJECTS
        for odd in UNREADABLE_VALUES
    ]


@pytest.mark.parametrize('odd', list_odd_objects())
def test_unreadable_object_hides_no_others(odd: bytes) -> None:
    """The JSON library may refuse the whole page for the sake of one object."""
    whole = [json.dumps(make_object(name)).encode() for name in ('a', 'z')]
    listed = b', '.join((whole[0], odd, whole[1]))
    body = b'{"Items": [%s], "HasMore": false, "StoreRevision": 5}' % listed
    platform_registry, _ = make_registry((200, body))
    listing = platform_registry.list_records(registry.Kind.peers)
    assert set(listing.records_by_name) == {'a', 'z'}
    assert listing.revision == 5


@pytest.mark.parametrize('odd', list_odd_objects())
def test_unreadable_object_does_not_stop_a_watch(odd: bytes) -> None:
    """A watch that fails is retried and gets the same answer for ever."""
    whole = json.dumps(make_object('a')).encode()
    body = (
        b'{"events": [{"Removed": false, "Object": %s}, {"Object": %s}],'
        b' "StoreRevision": 9}' % (odd, whole)
    )
    platform_registry, _ = make_registry((200, body))
    changes = platform_registry.watch_records(registry.Kind.peers, 5, 1)
    assert changes.revision == 9
    assert [
        (change.name, change.record is None) for change in changes.changes
    ] == [('odd', True), ('a', False)]


@pytest.mark.parametrize('odd_name', UNREADABLE_VALUES)
def test_object_with_unreadable_name_is_left_out(odd_name: bytes) -> None:
    """The listing continues after the last name that can be read."""
    whole = json.dumps(make_object('n1')).encode()
    odd = b'{"Metadata":{"Name":%s},"Spec":{}}' % odd_name
    body = b'{"Items":[%s,%s],"HasMore":true,"StoreRevision":5}' % (whole, odd)
    platform_registry, pool = make_registry(
        (200, body), (200, {'Items': [make_object('n2')], 'StoreRevision': 9})
    )
    listing = platform_registry.list_records(registry.Kind.peers)
    assert set(listing.records_by_name) == {'n1', 'n2'}
    assert pool.calls[1].path.endswith('?AfterRev=n1')


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'odd',
        b'"odd"',
        b'{"Items": [{"a": "\xff',
        b'{"Items": [}',
        b'{"Items": 5, "events": 5}',
        b'{1: 2}',
        b'[' * 100_000,
        rb'"\"' * 100_000,
    ],
)
def test_unreadable_answer_is_a_platform_error(body: bytes) -> None:
    """Another error would end the task that follows the store."""
    platform_registry, _ = make_registry((200, body), (200, body))
    with pytest.raises(error.PlatformAmbiguousError):
        platform_registry.list_records(registry.Kind.peers)
    with pytest.raises(error.PlatformAmbiguousError):
        platform_registry.watch_records(registry.Kind.peers, 5, 1)


def test_unreadable_object_costs_linear_time() -> None:
    """A listing of a megabyte with one such object is split in good time."""
    whole = json.dumps(make_object('n1', Other=r'\"[' * 500)).encode()
    odd = UNREADABLE_OBJECTS[0] % UNREADABLE_VALUES[0]
    listed = b','.join([odd, *itertools.repeat(whole, 500)])
    body = b'{"Items":[%s],"StoreRevision":5}' % listed
    assert len(body) > 1_000_000
    started = time.process_time()
    page = store_answer.decode_page(body)
    assert len(page.entries) == 501
    assert time.process_time() - started < 1


def test_lines_of_unreadable_objects_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Thousands of them would displace the other lines."""
    written = []
    monkeypatch.setattr(
        store_answer._LOG, 'write', lambda _, **fields: written.append(fields)
    )
    name = 'n' * 10_000
    listed = [make_object(name, Address=name) for _ in range(100)]
    platform_registry, _ = make_registry(
        (200, {'Items': listed, 'StoreRevision': 5})
    )
    platform_registry.list_records(registry.Kind.peers)
    assert len(written) == store_answer.MAX_LOGGED
    assert len(json.dumps(written)) < 1000 * store_answer.MAX_LOGGED


@pytest.mark.parametrize(
    ('status', 'expected'),
    [
        (410, error.WatchExpiredError),
        (409, error.PlatformConflictError),
        (429, error.PlatformUnavailableError),
        (503, error.PlatformUnavailableError),
        (404, error.PlatformRefusedError),
        (500, error.PlatformAmbiguousError),
    ],
)
def test_error_statuses_raise_typed_errors(
    status: int, expected: type[error.PlatformError]
) -> None:
    """Each status raises the error that tells whether a write took effect."""
    platform_registry, _ = make_registry((status, {}))
    with pytest.raises(expected):
        platform_registry.watch_records(registry.Kind.engines, 5, 1)


def test_lost_answer_raises_an_ambiguous_error() -> None:
    """A write whose answer was lost may have taken effect."""
    platform_registry, _ = make_registry(
        error.ConnectionLostError('it broke', 'read')
    )
    with pytest.raises(error.PlatformAmbiguousError):
        platform_registry.remove_peer('n1')


def test_peer_entry_of_an_earlier_run_is_replaced() -> None:
    """A conflict on creation is resolved by overwriting the entry."""
    platform_registry, pool = make_registry((409, {}), (200, {}))
    platform_registry.put_peer(PEER)
    assert [call.method for call in pool.calls] == ['POST', 'PUT']


def test_rollout_report_names_order_revision() -> None:
    """The store can then refuse a report on an order that has changed."""
    platform_registry, pool = make_registry((409, {}))
    rollout = deployment.Rollout('s', 'v2', 12, 'x', '', 77)
    with pytest.raises(error.PlatformConflictError):
        platform_registry.report_rollout(rollout, 'active')
    body = json.loads(pool.calls[0].body)
    assert body['Metadata']['Revision'] == 77
    assert body['Status'] == {'State': 'active', 'Target': 'v2'}


def test_block_is_replaced_and_read_back() -> None:
    """A digest of 64 bits comes back exactly, an unreadable one is left out."""
    block = deployment.PartBlock('pool', 0xFEDCBA9876543210, 600)
    platform_registry, pool = make_registry((409, {}), (200, {}), (200, {}))
    platform_registry.put_part_block(block)
    platform_registry.remove_part_block(block)
    assert [call.method for call in pool.calls] == ['POST', 'PUT', 'DELETE']
    stored = json.loads(pool.calls[1].body)
    odd = {'Metadata': {'Name': 'odd'}, 'Spec': {**stored['Spec'], 'Part': 'z'}}
    listing_registry, _ = make_registry(
        (200, {'Items': [stored, odd], 'StoreRevision': 5}),
    )
    listing = listing_registry.list_records(registry.Kind.part_blocks)
    assert listing.records_by_name == {block.name: block}


def list_in_eras(
    *eras: object,
) -> tuple[store.PlatformRegistry, list[registry.Listing]]:
    """List the nodes once in each of several eras of the store.

    Args:
        *eras: The eras, as the store sends them; the revisions fall.

    Returns:
        The registry and the listings.
    """
    platform_registry, _ = make_registry(
        *(
            (200, {'StoreRevision': 50 - number}, era)
            for number, era in enumerate(eras)
        ),
    )
    listings = [
        platform_registry.list_records(registry.Kind.peers) for _ in eras
    ]
    return platform_registry, listings


def test_revisions_of_a_later_era_are_greater() -> None:
    """A restored store counts from a lower number again."""
    _, listings = list_in_eras(1, 2)
    assert listings[0].revision < listings[1].revision
    assert registry.split_revision(listings[1].revision) == (2, 49)


@pytest.mark.parametrize('era', ['', '-1', '2.5', 'x', '\u00b2'])
def test_unreadable_era_is_the_known_one(era: str) -> None:
    """An answer without a number leaves the era as it is."""
    _, listings = list_in_eras(3, era)
    assert registry.split_revision(listings[1].revision) == (3, 49)


def test_huge_era_does_not_overflow() -> None:
    """Revisions are sent to other nodes as integers of 64 bits."""
    _, listings = list_in_eras('9' * 5000)
    assert listings[0].revision < 2**63


def test_answer_of_an_earlier_era_is_dropped() -> None:
    """It was on its way while the store was restored."""
    with pytest.raises(error.PlatformAmbiguousError):
        list_in_eras(2, 1)


# Guards against changes that are never seen: the revision of a watch had been
# given out again by the restored store.
@pytest.mark.parametrize('era', [1, 2])
def test_watch_expires_when_the_era_changes(era: int) -> None:
    """The answer of a later era says nothing about the earlier revision."""
    platform_registry, pool = make_registry(
        (200, {'StoreRevision': 60, 'events': []}, 2),
        (200, {'StoreRevision': 60, 'events': []}, 2),
    )
    revision = registry.join_revision(era, 50)
    if era == 2:
        changes = platform_registry.watch_records(
            registry.Kind.peers, revision, 1
        )
        assert changes.revision == registry.join_revision(2, 60)
        assert 'Watch=50&' in pool.calls[0].path
        return
    for _ in range(2):
        with pytest.raises(error.WatchExpiredError):
            platform_registry.watch_records(registry.Kind.peers, revision, 1)
    assert len(pool.calls) == 1


def test_new_era_ends_only_earlier_watches() -> None:
    """A watch that began after the restoration goes on."""
    platform_registry, _ = make_registry(
        (200, {'StoreRevision': 5}, 1), (200, {'StoreRevision': 4}, 2)
    )
    platform_registry.list_records(registry.Kind.peers)
    watches = [gevent.spawn(gevent.sleep, 1000) for _ in range(2)]
    paused_loop.advance(0.01)
    platform_registry._era_by_watch = {watches[0]: 1, watches[1]: 2}
    platform_registry.list_records(registry.Kind.engines)
    paused_loop.advance(0.01)
    assert isinstance(watches[0].exception, error.WatchExpiredError)
    assert not watches[1].ready()
    watches[1].kill()


# Guards against a report that is written to another order, or another state of
# it, which got the same revision after a restoration.
def test_rollout_report_of_earlier_era_conflicts() -> None:
    """The order has to be read again before its state is reported."""
    platform_registry, _ = list_in_eras(2)
    revision = registry.join_revision(1, 77)
    rollout = deployment.Rollout('s', 'v2', 12, 'x', '', revision)
    with pytest.raises(error.PlatformConflictError):
        platform_registry.report_rollout(rollout, 'reverted')
