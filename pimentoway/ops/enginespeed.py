"""The pace of the machines that back ends run on, and what to expect of it.

A back end may report with an answer how long work takes on its machine at that
moment, relative to the usual time (its *pace*; 2.5 is slow). The pace changes
several times a second, so a figure says less the older it is: it decays to the
mean pace of the service with a correlation time that is learnt for the service.
"""

import dataclasses
import math

from pimentoway.core import metric

#: The correlation times that are compared, in seconds: from less than any
#: answer takes to longer than a burst lasts.
MIN_CORRELATION_SECONDS = 0.0375
CORRELATION_SECONDS = tuple(
    MIN_CORRELATION_SECONDS * 2**step for step in range(10)
)

#: The one that is used until another one predicts the figures better.
START_SECONDS = 0.6

#: The head start of that one, as a mean squared error. A machine that is 2.5
#: times as slow for 15% of the time has a variance of 0.29.
START_ADVANTAGE = 0.1

#: The weight of a new figure in the mean, and of a new pair of figures in the
#: errors of the correlation times: some hundred pairs outweigh the start.
MEAN_SMOOTHING = 0.01
ERROR_SMOOTHING = 0.01

#: The most by which a figure is taken to differ from the usual pace, up or
#: down: one wrong figure must not shift the mean of the service.
MAX_PACE_RATIO = 8.0

#: The age in seconds from which a pair of figures is not compared: nothing that
#: is learnt from it would be used.
MAX_PAIR_SECONDS = 60.0


#: The weight of a new run in the average of the durations of a back end. That
#: must not follow the pace of the machine, which counts by itself; with the
#: weight of ``enginestate.SMOOTHING`` slow times counted twice.
DURATION_SMOOTHING = 0.05

#: Seconds for which the number of requests that wait at a back end is used, as
#: for the other figures of its load.
WAITING_EXPIRY_SECONDS = 1.5

#: The weight of a new run in what is learnt of prompts that are read at the
#: same time, the runs before which nothing is concluded, and the largest delay
#: for each token, in seconds: more than engines take to read one alone.
PROMPT_SMOOTHING = 0.005
MIN_PROMPT_RUNS = 100
MAX_PROMPT_SECONDS = 0.0005


@dataclasses.dataclass(frozen=True)
class Forecast:
    """What is expected of a request at one back end, and why.

    Attributes:
        first_seconds: The time from the grant to the first event.
        run_seconds: The time to the end of the answer.
        pace: The machine's last figure; 0 without one.
        age_seconds: The age of that figure.
        prompt_tokens: The tokens of prompts that it reads now.
        prompt_delay: The part of the time to the first event that is due to
            these.
        waiting: The requests that wait there.
        cost: The cost of the back end, with the first event, in seconds.
        next_engine: The name of the back end with the next higher cost; that
            of this one if there was no other.
        next_cost: The cost of that one.
        candidates: The back ends that were compared.
    """

    first_seconds: float
    run_seconds: float
    pace: float
    age_seconds: float
    prompt_tokens: int
    prompt_delay: float
    waiting: int
    cost: float = 0
    next_engine: str = ''
    next_cost: float = 0
    candidates: int = 0


class PromptModel:
    """How much prompts that a back end reads at the same time delay another.

    Attributes:
        seconds: The delay of the first event for each token; 0 until it is
            known.
    """

    def __init__(self) -> None:
        """Start without runs."""
        self.seconds: float = 0
        self._runs = 0
        self._tokens: float = 0
        self._delay: float = 0
        self._variance: float = 0
        self._covariance: float = 0

    def note(self, tokens: int, delay: float) -> None:
        """Learn from the first event of a run: a linear regression.

        Args:
            tokens: The tokens of other prompts that were read when it began.
            delay: By how much its first event came later than it was expected
                without these.
        """
        self._runs += 1
        weight = max(PROMPT_SMOOTHING, 1 / self._runs)
        difference = tokens - self._tokens
        later = delay - self._delay
        self._tokens += weight * difference
        self._delay += weight * later
        rest = 1 - weight
        self._variance = rest * (self._variance + weight * difference**2)
        self._covariance = rest * (
            self._covariance + weight * difference * later
        )
        if self._runs >= MIN_PROMPT_RUNS and self._variance:
            slope = self._covariance / self._variance
            self.seconds = min(max(0, slope), MAX_PROMPT_SECONDS)


class PaceModel:
    """What is learnt of the pace of the machines of one service.

    Attributes:
        mean: The mean of the figures.
        correlation_seconds: The time in which the difference of a figure from
            the mean decays to 1/e.
        prompts: What is learnt of prompts that are read at the same time.
    """

    def __init__(self) -> None:
        """Start with the usual pace and ``START_SECONDS``."""
        self.mean = 1.0
        self.correlation_seconds = START_SECONDS
        self.prompts = PromptModel()
        self._error_by_seconds = {
            seconds: START_ADVANTAGE for seconds in CORRELATION_SECONDS
        }
        self._error_by_seconds[START_SECONDS] = 0

    def note_figure(self, pace: float) -> None:
        """Add a figure to the mean.

        Args:
            pace: The figure.
        """
        self.mean += MEAN_SMOOTHING * (pace - self.mean)

    def note_pair(self, earlier: float, later: float, seconds: float) -> None:
        """Learn the correlation time from two successive figures of a machine.

        Args:
            earlier: The earlier figure.
            later: The later figure.
            seconds: The time between them.
        """
        if seconds > MAX_PAIR_SECONDS:
            return
        difference = earlier - self.mean
        for correlation, error in self._error_by_seconds.items():
            predicted = self.mean + difference * math.exp(
                -seconds / correlation
            )
            squared = (later - predicted) ** 2
            self._error_by_seconds[correlation] = error + ERROR_SMOOTHING * (
                squared - error
            )
        self.correlation_seconds = min(
            self._error_by_seconds, key=self._error_by_seconds.__getitem__
        )


class EngineSpeed:
    """The last figures of one back end, with their age.

    Attributes:
        pace: The pace of its machine; 0 if it is not known.
        relative_duration: The moving average of the durations of its runs at
            the mean pace, each relative to the usual duration in the service.
    """

    def __init__(self) -> None:
        """Start without a figure."""
        self.pace: float = 0
        self.relative_duration = 1.0
        self._durations = 0
        self._measured_at: float = 0
        self._waiting = 0
        self._waiting_at: float = 0
        self._model = PaceModel()

    def note(self, pace: float, measured_at: float, model: PaceModel) -> None:
        """Record a figure; one that is older than the last one is ignored.

        Args:
            pace: The figure.
            measured_at: The monotonic time at which its answer began.
            model: What is known of the service; it learns from the figure.
        """
        if self.pace and measured_at < self._measured_at:
            return
        pace = min(max(pace, 1 / MAX_PACE_RATIO), MAX_PACE_RATIO)
        self._model = model
        if self.pace:
            expected = self.predict_pace(0, measured_at)
            metric.PACE_ERROR.observe(abs(pace - expected))
            model.note_pair(self.pace, pace, measured_at - self._measured_at)
        model.note_figure(pace)
        self.pace = pace
        self._measured_at = measured_at

    def note_duration(self, ratio: float, now: float) -> None:
        """Add the duration of a run to the moving average.

        Args:
            ratio: Its duration relative to the usual one in the service; the
                part of it that the last figure explains is left out.
            now: The monotonic time.
        """
        self._durations += 1
        weight = max(DURATION_SMOOTHING, 1 / (self._durations + 1))
        usual = ratio / self.predict_ratio(0, now)
        self.relative_duration += weight * (usual - self.relative_duration)

    def note_waiting(self, waiting: int, now: float) -> None:
        """Record how many requests wait at the back end.

        Args:
            waiting: The requests, as it reported.
            now: The monotonic time.
        """
        self._waiting = max(0, waiting)
        self._waiting_at = now

    def clear(self) -> None:
        """Drop the figures, as the back end has restarted or moved."""
        self.pace = 0
        self._waiting = 0

    def count_waiting(self, now: float) -> int:
        """Count the requests that wait at the back end.

        Args:
            now: The monotonic time.

        Returns:
            The requests, as it reported of late; 0 if that is too long ago.
        """
        if now - self._waiting_at >= WAITING_EXPIRY_SECONDS:
            return 0
        return self._waiting

    def measure_age(self, now: float) -> float:
        """Measure the age of the figure.

        Args:
            now: The monotonic time.

        Returns:
            The seconds; 0 without a figure.
        """
        return max(0, now - self._measured_at) if self.pace else 0

    def predict_pace(self, seconds: float, now: float) -> float:
        """Predict the mean pace of the machine from now on.

        Args:
            seconds: The time over which the mean is taken; 0 for the pace now.
            now: The monotonic time.

        Returns:
            The pace; the mean of the service without a figure.
        """
        model = self._model
        mean = model.mean
        if not self.pace:
            return mean
        correlation = model.correlation_seconds
        weight = math.exp((self._measured_at - now) / correlation)
        span = seconds / correlation
        if span > 0:
            # The mean of a decay to 1/e over that time.
            weight *= -math.expm1(-span) / span
        return mean + (self.pace - mean) * weight

    def predict_ratio(self, seconds: float, now: float) -> float:
        """Predict how much longer than usual work takes that starts now.

        Args:
            seconds: How long the work usually takes.
            now: The monotonic time.

        Returns:
            The ratio to the usual time, in which the mean pace is contained; 1
            without a figure.
        """
        return self.predict_pace(seconds, now) / self._model.mean
