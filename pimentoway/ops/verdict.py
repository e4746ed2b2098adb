"""The verdict on a version: is it worse than the one that it replaces?

Each node counts the good and the bad answers of each version by service and
tells the others; all nodes judge by the same pooled counts. The judgement is
sequential (CUSUM of log-likelihood ratios): it can be asked after every
answer, it also sees a version that goes bad later, and its false alarm rate
over a rollout is bounded by its threshold.
"""

import collections
import dataclasses
import math

from pimentoway.core import clock, evidence

#: The least rate of bad answers that the old version is taken to have.
FLOOR_RATE = 0.01

#: The highest rate of bad answers that the old version is taken to have.
CEILING_RATE = 0.5

#: The least rate of bad answers that makes a version bad.
BAD_RATE = 0.25

#: The factor over the old version's rate that makes a version bad.
BAD_FACTOR = 4

#: The highest rate that a bad version is taken to have.
WORST_RATE = 0.95

#: The answers of a rollout over which the false alarm rate holds.
ANSWERS = 10_000

#: The part of rollouts of good versions that may be taken back by mistake.
FALSE_ALARMS = 0.001

#: The pace against the old version's from which an answer counts as slow.
SLOW_RATIO = 2.5

#: Seconds between two tellings of a node's counts that hold new bad answers.
TELL_SECONDS = 1

#: Seconds between two tellings of counts that hold new good answers only.
GOOD_SECONDS = 60

_MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True)
class Subject:
    """What is judged: a version on one service.

    Attributes:
        pool: The name of the pool.
        version: The name of the version.
        service: The name of the service.
    """

    pool: str
    version: str
    service: str


@dataclasses.dataclass
class Count:
    """Good and bad answers.

    Attributes:
        good: The good ones.
        bad: The bad ones.
    """

    good: int = 0
    bad: int = 0

    def measure_rate(self) -> float:
        """Measure the rate of bad answers, within its bounds.

        Returns:
            The rate.
        """
        total = self.good + self.bad
        rate = self.bad / total if total else 0
        return min(CEILING_RATE, max(FLOOR_RATE, rate))


class Book:
    """The pooled counts of all nodes, and the verdicts on them."""

    def __init__(self, node: str) -> None:
        """Start with no counts.

        Args:
            node: The name of this node.
        """
        self._node = node
        self._sequence = 0
        self._told = float('-inf')
        self._own_by_subject: dict[Subject, Count] = {}
        self._told_by_subject: dict[Subject, tuple[float, Count]] = {}
        self._heard: dict[tuple[str, Subject], evidence.Tally] = {}
        self._pooled_by_subject: dict[Subject, Count] = collections.defaultdict(
            Count
        )
        self._score_by_subject: dict[Subject, float] = {}

    def observe(self, subject: Subject, base: str, good: bool) -> None:
        """Count an answer of this node.

        Args:
            subject: What gave it.
            base: The version that is being replaced.
            good: Whether it was good.
        """
        count = self._own_by_subject.setdefault(subject, Count())
        if good:
            count.good += 1
        else:
            count.bad += 1
        self._add(subject, base, Count(int(good), int(not good)))

    def record(self, tally: evidence.Tally, base: str) -> bool:
        """Take in another node's counts.

        Args:
            tally: The counts since that node started.
            base: The version that is being replaced.

        Returns:
            Whether they were new.
        """
        subject = Subject(tally.pool, tally.version, tally.service)
        key = (tally.node, subject)
        known = self._heard.get(key)
        if tally.node == self._node:
            return False
        if known and known.sequence >= tally.sequence:
            return False
        self._heard[key] = tally
        self._add(
            subject,
            base,
            _subtract(tally, known),
        )
        return True

    def list_news(self) -> list[evidence.Tally]:
        """List the counts that other nodes should be told now.

        Returns:
            The counts that changed, at most once in ``TELL_SECONDS``.
        """
        now = clock.read_monotonic()
        if now - self._told < TELL_SECONDS:
            return []
        self._told = now
        wall = int(clock.read_wall() * _MILLISECONDS)
        self._sequence = max(self._sequence + 1, wall)
        news = []
        for subject, count in self._own_by_subject.items():
            if self._is_due(subject, count):
                told = dataclasses.replace(count)
                self._told_by_subject[subject] = (now, told)
                news.append(self._make_tally(subject, count))
        return news

    def find_bad(self, pool: str, version: str) -> str:
        """Find a service on which a version is bad.

        Args:
            pool: The name of the pool.
            version: The name of the version.

        Returns:
            The name of the service, or nothing if the version is not bad.
        """
        for subject, score in self._score_by_subject.items():
            same = (subject.pool, subject.version) == (pool, version)
            if same and score >= compute_threshold():
                return subject.service
        return ''

    def forget(self, pool: str) -> None:
        """Forget the counts of a pool: its rollout has ended.

        Args:
            pool: The name of the pool.
        """
        for table in (
            self._own_by_subject,
            self._told_by_subject,
            self._pooled_by_subject,
            self._score_by_subject,
        ):
            gone = tuple(one for one in table if one.pool == pool)
            for subject in gone:
                table.pop(subject)

    def _is_due(self, subject: Subject, count: Count) -> bool:
        # Bad answers are rare and urgent; good ones are neither.
        told_at, told = self._told_by_subject.get(
            subject,
            (float('-inf'), Count()),
        )
        if count.bad != told.bad:
            return True
        waited = clock.read_monotonic() - told_at
        return count != told and waited >= GOOD_SECONDS

    def _make_tally(self, subject: Subject, count: Count) -> evidence.Tally:
        return evidence.Tally(
            self._node,
            subject.pool,
            subject.version,
            subject.service,
            count.good,
            count.bad,
            self._sequence,
        )

    def _add(self, subject: Subject, base: str, news: Count) -> None:
        pooled = self._pooled_by_subject[subject]
        pooled.good += news.good
        pooled.bad += news.bad
        if subject.version == base:
            return
        old = dataclasses.replace(subject, version=base)
        usual = self._pooled_by_subject[old].measure_rate()
        score = self._score_by_subject.get(subject, 0)
        score += weigh(usual, news)
        self._score_by_subject[subject] = max(0, score)


def weigh(usual: float, news: Count) -> float:
    """Weigh answers as evidence that a version is bad.

    Args:
        usual: The old version's rate of bad answers.
        news: The answers.

    Returns:
        The logarithm of the likelihood ratio.
    """
    worse = min(WORST_RATE, max(BAD_RATE, BAD_FACTOR * usual))
    bad = news.bad * math.log(worse / usual)
    return bad + news.good * math.log((1 - worse) / (1 - usual))


def _subtract(tally: evidence.Tally, known: evidence.Tally | None) -> Count:
    if known is None:
        return Count(tally.good, tally.bad)
    # A node that started anew counts from zero.
    return Count(
        max(0, tally.good - known.good),
        max(0, tally.bad - known.bad),
    )


def compute_threshold() -> float:
    """Compute the score from which a version is bad.

    Returns:
        The score.
    """
    return math.log(ANSWERS / FALSE_ALARMS)
