"""Tests of the notices of back ends at the broker, on the paused clock."""

import msgspec
import pytest

from pimentoway.core import clock
from pimentoway.nodes import frame
from pimentoway.ops import notice, reopening, slot
from pimentoway.standin import load, paused_loop, slotrequest

#: The nodes: one hears the notices, the other one does not.
HEARER = 'n1/1'
OTHER = 'n2/1'

PAUSE_SECONDS = 2


class EarlierReport(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The first fields of the report of an earlier release."""

    number: int
    outcome: slot.Outcome
    first_seconds: float = 0


class NoticeSimulation(load.Simulation):
    """A broker with two nodes whose back ends give notices.

    Attributes:
        grants: The node, the number and the back end of each grant.
        refusals: The refusals.
    """

    def __init__(self, speeds: tuple[float, ...] = (1, 1)) -> None:
        """Start without requests.

        Args:
            speeds: The speed of each back end.
        """
        self.grants: list[tuple[str, int, str]] = []
        self.refusals: list[slot.Refusal] = []
        super().__init__(speeds, slots=1)

    def submit(self, requester: str, number: int, **changes: object) -> None:
        """Submit a slot request.

        Args:
            requester: The node.
            number: Its number.
            **changes: The fields that differ from the defaults.
        """
        request = slotrequest.make_slot_request(number, **changes)
        self.broker.submit(requester, request)

    def hear(self, engine: str, **fields: object) -> None:
        """Report a notice as a node of this release does.

        Args:
            engine: The back end.
            **fields: The fields of the notice.
        """
        given = slot.EngineNotice(engine, f'{engine}:1', 1, **fields)
        report = slot.Report(
            slot.NOTICE_NUMBER, slot.Outcome.unused, notice=given
        )
        self.broker.finish(HEARER, report)

    def _reply(self, requester: str, reply: slot.Grant | slot.Refusal) -> None:
        if isinstance(reply, slot.Grant):
            self.grants.append((requester, reply.number, reply.engine))
        else:
            self.refusals.append(reply)


@pytest.mark.parametrize('requester', [HEARER, OTHER])
def test_leaving_back_end_is_granted_to_no_node(requester: str) -> None:
    """A second request waits, as only the other back end may be used."""
    simulation = NoticeSimulation()
    simulation.hear('e0', leaving=True)
    for number in (1, 2):
        simulation.submit(requester, number)
    paused_loop.advance(PAUSE_SECONDS)
    assert simulation.grants == [(requester, 1, 'e1')]
    assert not simulation.refusals


def test_pause_concerns_one_node_and_ends() -> None:
    """Requests of the other node pass the one that waits for the end."""
    simulation = NoticeSimulation((1,))
    simulation.hear('e0', pause_seconds=PAUSE_SECONDS)
    simulation.submit(HEARER, 1)
    simulation.submit(OTHER, 2)
    simulation.broker.finish(OTHER, slot.Report(2, slot.Outcome.answered))
    paused_loop.advance(PAUSE_SECONDS - 0.1)
    assert simulation.grants == [(OTHER, 2, 'e0')]
    paused_loop.advance(0.2)
    assert simulation.grants[1:] == [(HEARER, 1, 'e0')]
    assert not simulation.broker.notices.has_pauses()


def test_longest_pause_holds() -> None:
    """A shorter time that was stated later does not end it sooner."""
    simulation = NoticeSimulation((1,))
    simulation.hear('e0', pause_seconds=PAUSE_SECONDS)
    simulation.hear('e0', pause_seconds=PAUSE_SECONDS / 2)
    simulation.submit(HEARER, 1)
    paused_loop.advance(PAUSE_SECONDS - 0.1)
    assert not simulation.grants


def test_long_pause_is_capped() -> None:
    """A back end can't exclude itself for good."""
    simulation = NoticeSimulation((1,))
    simulation.hear('e0', pause_seconds=notice.MAX_PAUSE_SECONDS * 9)
    paused_loop.advance(notice.MAX_PAUSE_SECONDS + 0.1)
    simulation.submit(HEARER, 1)
    assert simulation.grants


@pytest.mark.parametrize(
    ('changes', 'granted'),
    [
        ([{'version': 'v2'}], False),
        ([{'born': 2}], True),
        ([{'address': 'e0:2'}], True),
        ([{'draining': True}], False),
        ([{'draining': True}, {'draining': False}], True),
        ([{'born': 2}, {'born': 1}], False),
    ],
)
def test_notice_ends_with_its_run(changes: list[dict], granted: bool) -> None:
    """Also when the store says that the back end leaves and then stays."""
    simulation = NoticeSimulation((1,))
    simulation.hear('e0', leaving=True)
    for change in changes:
        simulation.add_engine('e0', 1, 1, **change)
    simulation.submit(HEARER, 1)
    assert bool(simulation.grants) == granted


def test_attaching_node_tells_its_notices() -> None:
    """Of pauses it learns the rest; those of other nodes it needs not."""
    known = NoticeSimulation()
    known.hear('e0', leaving=True)
    known.hear('e1', pause_seconds=PAUSE_SECONDS)
    paused_loop.advance(1)
    assert len(known.broker.notices.list_known(OTHER)) == 1
    told = known.broker.notices.list_known(HEARER)
    simulation = NoticeSimulation()
    simulation.broker.adopt(HEARER, [], [], told)
    simulation.submit(HEARER, 1)
    simulation.submit(OTHER, 2)
    assert simulation.grants == [(OTHER, 2, 'e1')]
    simulation.broker.finish(OTHER, slot.Report(2, slot.Outcome.answered))
    paused_loop.advance(PAUSE_SECONDS)
    assert simulation.grants[1:] == [(HEARER, 1, 'e1')]


def test_number_of_notices_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Back ends that come and go don't fill the memory of the broker."""
    monkeypatch.setattr(notice, 'MAX_LEAVING', 2)
    monkeypatch.setattr(notice, 'MAX_PAUSES', 2)
    simulation = NoticeSimulation()
    for number in range(9):
        simulation.hear(f'e{number}', leaving=True, pause_seconds=9)
    names = [
        known.engine for known in simulation.broker.notices.list_known(HEARER)
    ]
    assert names == ['e7', 'e8', 'e7', 'e8']


def test_earlier_releases_exchange_reports() -> None:
    """They ignore the notice, and theirs carry none."""
    given = slot.EngineNotice('e0', 'e0:1', 1, leaving=True)
    report = slot.Report(slot.NOTICE_NUMBER, slot.Outcome.unused, notice=given)
    encoded = frame.encode(report)
    assert frame.FrameReader().feed(encoded) == [report]
    decoder = msgspec.msgpack.Decoder(EarlierReport)
    earlier = decoder.decode(encoded[frame.LENGTH_BYTES :])
    assert earlier.number == slot.NOTICE_NUMBER
    answered = EarlierReport(7, slot.Outcome.answered)
    assert frame.FrameReader().feed(frame.encode(answered)) == [
        slot.Report(7, slot.Outcome.answered)
    ]


def test_refusal_names_the_end_of_all_pauses() -> None:
    """Who can't wait returns after the end, high tiers first, not together."""
    simulation = NoticeSimulation()
    simulation.hear('e0', pause_seconds=9)
    simulation.hear('e1', pause_seconds=6)
    for number in range(1, 61):
        rank = number % 3
        simulation.submit(HEARER, number, patience_left=2, rank=rank)
    waits = [[], [], []]
    for refusal in simulation.refusals:
        assert refusal.reason is slot.Reason.overloaded
        waits[refusal.number % 3].append(refusal.retry_after)
    assert [len(of_rank) for of_rank in waits] == [20, 20, 20]
    bounds = [6]
    for of_rank in waits:
        bounds.extend((min(of_rank), max(of_rank)))
        assert max(of_rank) - min(of_rank) > reopening.SPREAD_SECONDS / 2
    assert bounds == sorted(bounds)
    simulation.submit(OTHER, 1, patience_left=2)
    assert simulation.grants


def test_all_back_ends_shed_load() -> None:
    """Shedding service: no request reaches a back end before its time.

    All back ends turn requests away at once, for the same time, and are used
    again as soon as it is over.
    """
    simulation = load.Simulation()
    simulation.generate_requests(30, factor=1.5)
    paused_loop.advance(5)
    now = clock.read_monotonic()
    for name in simulation.speed_by_engine:
        simulation.broker.notices.note(
            load.REQUESTER,
            slot.EngineNotice(name, f'{name}:1', 1, pause_seconds=4),
        )
    paused_loop.advance(55)
    for arrivals in simulation.arrivals_by_engine.values():
        assert not any(0 < time - now < 4 for time in arrivals)
        assert any(4 < time - now < 4.1 for time in arrivals)
