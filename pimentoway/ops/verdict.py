"""A sequential test: is a version worse than the one that it replaces?

Each node counts the good and the bad answers of each version by service and
announces its counts; all nodes test the same pooled counts. The test is a
CUSUM of log-likelihood ratios: it can be evaluated after every answer, it also
detects a version that turns bad later, and its threshold bounds the rate of
false alarms over a rollout.
"""

import collections
import dataclasses
import math

from pimentoway.core import clock, evidence

#: The bounds of the rate of bad answers that the test assumes for the old
#: version.
MIN_BASE_RATE = 0.01
MAX_BASE_RATE = 0.5

#: The lowest rate of bad answers that the test assumes for a bad version.
MIN_BAD_RATE = 0.25

#: The rate of a bad version relative to the old version's.
BAD_FACTOR = 4

#: The highest rate of bad answers that the test assumes for a bad version.
MAX_BAD_RATE = 0.95

#: The answers of a rollout over which the false alarm rate holds.
ROLLOUT_ANSWERS = 10_000

#: The accepted fraction of rollouts of good versions that are rolled back.
FALSE_ALARM_RATE = 0.001

#: The time for a unit of work, relative to the old version's, from which an
#: answer counts as slow.
SLOW_RATIO = 2.5

#: Seconds between announcements of a node's counts with new bad answers.
BAD_ANNOUNCE_SECONDS = 1

#: Seconds between announcements of counts with new good answers only.
GOOD_ANNOUNCE_SECONDS = 60

_MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True)
class Subject:
    """The subject of a test: a version on one service.

    Attributes:
        pool: The name of the pool.
        version: The name of the version.
        service: The name of the service.
    """

    pool: str
    version: str
    service: str


@dataclasses.dataclass
class AnswerCount:
    """The numbers of good and bad answers.

    Attributes:
        good: The good answers.
        bad: The bad answers.
    """

    good: int = 0
    bad: int = 0

    @property
    def total(self) -> int:
        """Count all answers.

        Returns:
            The good and the bad ones.
        """
        return self.good + self.bad

    def add(self, other: 'AnswerCount') -> None:
        """Add other answers.

        Args:
            other: Their numbers.
        """
        self.good += other.good
        self.bad += other.bad

    def measure_rate(self, prior: float, weight: float) -> float:
        """Measure the rate of bad answers, given an earlier estimate.

        Args:
            prior: The estimate.
            weight: The answers that it counts for.

        Returns:
            The rate; 0 without answers and estimate.
        """
        counted = self.total + weight
        return (self.bad + prior * weight) / counted if counted else 0

    def measure_bad_rate(self) -> float:
        """Measure the rate of bad answers, as the test uses it.

        Returns:
            The rate, within ``MIN_BASE_RATE`` and ``MAX_BASE_RATE``.
        """
        total = self.good + self.bad
        rate = self.bad / total if total else 0
        return min(MAX_BASE_RATE, max(MIN_BASE_RATE, rate))


class SequentialTest:
    """The pooled counts of all nodes, and the test scores of versions."""

    def __init__(self, node: str) -> None:
        """Start without counts.

        Args:
            node: The name of this node.
        """
        self._node = node
        self._sequence = 0
        self._announced_at = float('-inf')
        self._own_by_subject: dict[Subject, AnswerCount] = {}
        self._announced_by_subject: dict[
            Subject, tuple[float, AnswerCount]
        ] = {}
        self._received: dict[tuple[str, Subject], evidence.Tally] = {}
        self._pooled_by_subject: dict[Subject, AnswerCount] = (
            collections.defaultdict(AnswerCount)
        )
        self._score_by_subject: dict[Subject, float] = {}

    def observe(self, subject: Subject, base: str, good: bool) -> None:
        """Count an answer that this node got.

        Args:
            subject: The version and service that gave it.
            base: The name of the version that is replaced.
            good: Whether the answer was good.
        """
        count = self._own_by_subject.setdefault(subject, AnswerCount())
        if good:
            count.good += 1
        else:
            count.bad += 1
        self._add(subject, base, AnswerCount(int(good), int(not good)))

    def merge_tally(self, tally: evidence.Tally, base: str) -> bool:
        """Add the counts of another node to the pooled ones.

        Args:
            tally: The counts since that node started.
            base: The name of the version that is replaced.

        Returns:
            Whether the tally was new; one of this node, or one that is not
            newer than the last of its node, is ignored.
        """
        subject = Subject(tally.pool, tally.version, tally.service)
        key = (tally.node, subject)
        last = self._received.get(key)
        if tally.node == self._node:
            return False
        if last and last.sequence >= tally.sequence:
            return False
        self._received[key] = tally
        self._add(
            subject,
            base,
            _subtract(tally, last),
        )
        return True

    def list_due_tallies(self) -> list[evidence.Tally]:
        """List the counts of this node that are due to be announced.

        The caller announces them; they count as announced from now on.

        Returns:
            The counts with new bad answers, and those with new good answers
            last announced ``GOOD_ANNOUNCE_SECONDS`` ago; none within
            ``BAD_ANNOUNCE_SECONDS`` of the last call that checked them.
        """
        now = clock.read_monotonic()
        if now - self._announced_at < BAD_ANNOUNCE_SECONDS:
            return []
        self._announced_at = now
        wall = int(clock.read_wall() * _MILLISECONDS)
        self._sequence = max(self._sequence + 1, wall)
        due = []
        for subject, count in self._own_by_subject.items():
            if self._is_due(subject, count):
                announced = dataclasses.replace(count)
                self._announced_by_subject[subject] = (now, announced)
                due.append(self._make_tally(subject, count))
        return due

    def find_bad_service(self, pool: str, version: str) -> str:
        """Find a service on which a version is bad.

        Args:
            pool: The name of the pool.
            version: The name of the version.

        Returns:
            The name of the service, or ``''`` if the version is not bad.
        """
        for subject, score in self._score_by_subject.items():
            same = (subject.pool, subject.version) == (pool, version)
            if same and score >= compute_threshold():
                return subject.service
        return ''

    def forget(self, pool: str) -> None:
        """Drop the counts and scores of a pool whose rollout has ended.

        Args:
            pool: The name of the pool.
        """
        for table in (
            self._own_by_subject,
            self._announced_by_subject,
            self._pooled_by_subject,
            self._score_by_subject,
        ):
            ended = tuple(key for key in table if key.pool == pool)
            for subject in ended:
                table.pop(subject)

    def _is_due(self, subject: Subject, count: AnswerCount) -> bool:
        # Bad answers are rare and urgent; good ones are frequent and can wait.
        announced_at, announced = self._announced_by_subject.get(
            subject,
            (float('-inf'), AnswerCount()),
        )
        if count.bad != announced.bad:
            return True
        waited = clock.read_monotonic() - announced_at
        return count != announced and waited >= GOOD_ANNOUNCE_SECONDS

    def _make_tally(
        self, subject: Subject, count: AnswerCount
    ) -> evidence.Tally:
        return evidence.Tally(
            self._node,
            subject.pool,
            subject.version,
            subject.service,
            count.good,
            count.bad,
            self._sequence,
        )

    def _add(self, subject: Subject, base: str, added: AnswerCount) -> None:
        pooled = self._pooled_by_subject[subject]
        pooled.good += added.good
        pooled.bad += added.bad
        if subject.version == base:
            return
        old = dataclasses.replace(subject, version=base)
        base_rate = self._pooled_by_subject[old].measure_bad_rate()
        score = self._score_by_subject.get(subject, 0)
        score += compute_log_likelihood(base_rate, added)
        self._score_by_subject[subject] = max(0, score)


def compute_log_likelihood(
    base_rate: float, added: AnswerCount, bad_factor: float = BAD_FACTOR
) -> float:
    """Compute the log-likelihood ratio of answers: bad against good version.

    Args:
        base_rate: The old version's rate of bad answers, above 0; a good
            version has the same.
        added: The answers.
        bad_factor: The rate of a bad version relative to the old version's.

    Returns:
        The natural logarithm of the ratio; positive if the answers speak for
        a bad version.
    """
    bad_rate = min(MAX_BAD_RATE, max(MIN_BAD_RATE, bad_factor * base_rate))
    bad = added.bad * math.log(bad_rate / base_rate)
    return bad + added.good * math.log((1 - bad_rate) / (1 - base_rate))


def _subtract(
    tally: evidence.Tally, last: evidence.Tally | None
) -> AnswerCount:
    if last is None:
        return AnswerCount(tally.good, tally.bad)
    # A node that restarted counts from zero again.
    return AnswerCount(
        max(0, tally.good - last.good),
        max(0, tally.bad - last.bad),
    )


def compute_threshold() -> float:
    """Compute the score from which a version counts as bad.

    Returns:
        The natural logarithm of the mean number of answers between two false
        alarms.
    """
    return math.log(ROLLOUT_ANSWERS / FALSE_ALARM_RATE)
