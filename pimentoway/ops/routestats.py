"""Statistics on the requests of one route: rate, run time and value."""

import dataclasses
import enum
import math

from pimentoway.ops import slot

#: The value of an answer of one tier relative to one of the next lower tier;
#: known deployments have factors of two to three.
TIER_VALUE_RATIO = 3.0

#: The fraction of an answer's value that doesn't grow with the work that its
#: request asks for; the users value their answers in this way.
FIXED_VALUE_FRACTION = 0.3

#: The most by which the value of a request for each second of a slot is taken
#: to differ from a typical one of its route, up or down; callers' estimates of
#: lengths are often far off.
MAX_VALUE_RATIO = 1.5

#: The fraction of the slots that a route asks for that it is guaranteed, and
#: the largest fraction of all slots that the guarantee may take. A route whose
#: requests are served less than a quarter as often as those of all routes
#: counts as starved; without the limit, long answers took half of all slots in
#: a burst.
GUARANTEED_DEMAND_FRACTION = 0.25
MAX_GUARANTEED_FRACTION = 0.12

#: The factor by which request counts decay each second: bursts last for some
#: seconds.
DECAY_PER_SECOND = 0.75

#: The rate of the same decay, per second. Multiplied by it, the decayed count
#: of requests that arrive steadily gives the requests a second.
DECAY_RATE = -math.log(DECAY_PER_SECOND)

#: The run time in seconds assumed before the first answer: a long prompt with
#: a short answer at an engine of usual speed.
DEFAULT_RUN_SECONDS = 0.4

#: The time to the first event in seconds assumed before the first answer.
DEFAULT_FIRST_SECONDS = 0.15

#: The weight of a new sample in moving averages.
SMOOTHING = 0.05

#: The shortest expected run time in seconds to which a run is compared, and
#: the largest ratio that a slow run counts as.
MIN_RUN_SECONDS = 0.001
MAX_DURATION_RATIO = 4.0

#: The ratio to the average length of its route from which an answer counts as
#: long, and the inverse of the one up to which it counts as short.
LENGTH_CLASS_RATIO = 2


class LengthClass(enum.Enum):
    """The estimated length of an answer, relative to its route's average."""

    short = 'short'
    typical = 'typical'
    long = 'long'


@dataclasses.dataclass
class RouteStats:
    """Statistics on the requests of one route.

    Attributes:
        run_seconds: The average run time of complete answers.
        first_seconds: The average time from dispatch to the first event.
        token_seconds: The average time for each token of an answer, where
            the tokens are those estimated before the run; 0 while unknown.
        mean_run_seconds: The average estimated run time of a request, over
            all requests, served or not; 0 before the first.
        mean_work_tokens: The average estimated work of a request, in prompt
            tokens; 0 while unknown.
        recent_requests: The decayed count of requests that could meet their
            latency target on arrival, over all tiers.
        event_seconds: The average time for each event of a stream; 0 while
            unknown.
        mean_output_tokens: The average estimated length of an answer, over
            all requests, served or not; 0 while unknown.
    """

    run_seconds: float = DEFAULT_RUN_SECONDS
    first_seconds: float = DEFAULT_FIRST_SECONDS
    token_seconds: float = 0
    mean_run_seconds: float = 0
    mean_work_tokens: float = 0
    recent_requests: float = 0
    event_seconds: float = 0
    mean_output_tokens: float = 0
    _mean_tokens: float = 0
    _mean_decode_seconds: float = 0

    def record_work(self, request: slot.SlotRequest) -> None:
        """Update the average work and run time of a request.

        Args:
            request: The slot request; it counts as a typical one as far as
                its work is unknown.
        """
        run = self.estimate_run(request)
        mean = self.mean_run_seconds or run
        self.mean_run_seconds = mean + SMOOTHING * (run - mean)
        if request.work_tokens:
            mean = self.mean_work_tokens or request.work_tokens
            self.mean_work_tokens = mean + SMOOTHING * (
                request.work_tokens - mean
            )

    def record_length(self, request: slot.SlotRequest) -> None:
        """Update the average length of an answer.

        Args:
            request: The slot request; ignored if the length is unknown.
        """
        if request.output_tokens:
            mean = self.mean_output_tokens or request.output_tokens
            self.mean_output_tokens = mean + SMOOTHING * (
                request.output_tokens - mean
            )

    def classify_length(self, request: slot.SlotRequest) -> LengthClass:
        """Compare the estimated length of an answer with the route's average.

        Args:
            request: The slot request.

        Returns:
            The class; typical if the length is unknown.
        """
        if not self.mean_output_tokens or not request.output_tokens:
            return LengthClass.typical
        ratio = request.output_tokens / self.mean_output_tokens
        if ratio >= LENGTH_CLASS_RATIO:
            return LengthClass.long
        if ratio <= 1 / LENGTH_CLASS_RATIO:
            return LengthClass.short
        return LengthClass.typical

    def estimate_slot_demand(self) -> float:
        """Estimate how many slots the requests of the route keep busy.

        Returns:
            The slots: arrival rate times run time (Little's law).
        """
        return self.recent_requests * DECAY_RATE * self.find_mean_run()

    def estimate_run(self, request: slot.SlotRequest) -> float:
        """Estimate the run time of a request.

        Args:
            request: The slot request.

        Returns:
            The seconds; the average of the route if the length of the answer
            is unknown.
        """
        if not self.token_seconds or not request.output_tokens:
            return self.run_seconds
        return self.first_seconds + request.output_tokens * self.token_seconds

    def compute_value_ratio(self, request: slot.SlotRequest) -> float:
        """Compare the value of a request with a typical one of its route.

        Args:
            request: The slot request.

        Returns:
            The ratio of their values for a second of a slot, limited by
            ``MAX_VALUE_RATIO``; 1 if the work is unknown.
        """
        if not self.mean_work_tokens or not request.work_tokens:
            return 1
        proportional = (
            (1 - FIXED_VALUE_FRACTION)
            * request.work_tokens
            / self.mean_work_tokens
        )
        answer_value = FIXED_VALUE_FRACTION + proportional
        ratio = answer_value * self.find_mean_run() / self.estimate_run(request)
        return min(max(ratio, 1 / MAX_VALUE_RATIO), MAX_VALUE_RATIO)

    def compute_typical_value(self, rank: int) -> float:
        """Compute the value of a second of a slot for a typical request.

        Args:
            rank: The tier of the request; 0 is the highest.

        Returns:
            The value, comparable between routes.
        """
        return TIER_VALUE_RATIO**-rank / self.find_mean_run()

    def compute_duration_ratio(self, report: slot.Report) -> float:
        """Compare the time of a run with the time expected on this route.

        Args:
            report: The report on the run.

        Returns:
            The ratio, at most ``MAX_DURATION_RATIO``; 1 is as expected, more is
            slower.
        """
        expected = self.run_seconds
        if report.events:
            expected = self.first_seconds + report.events * self.event_seconds
        return min(
            report.total_seconds / max(expected, MIN_RUN_SECONDS),
            MAX_DURATION_RATIO,
        )

    def record_answer(
        self, request: slot.SlotRequest, report: slot.Report
    ) -> None:
        """Update the averages after a complete answer.

        Args:
            request: The slot request.
            report: The report on the run.
        """
        self.run_seconds += SMOOTHING * (
            report.total_seconds - self.run_seconds
        )
        self.first_seconds += SMOOTHING * (
            report.first_seconds - self.first_seconds
        )
        if report.events:
            gap = (report.total_seconds - report.first_seconds) / report.events
            mean = self.event_seconds or gap
            self.event_seconds = mean + SMOOTHING * (gap - mean)
        if request.output_tokens:
            # The ratio of two averages with the same smoothing, so that long
            # answers weigh more than in an average of ratios.
            self._mean_tokens += SMOOTHING * (
                request.output_tokens - self._mean_tokens
            )
            decode = report.total_seconds - report.first_seconds
            self._mean_decode_seconds += SMOOTHING * (
                decode - self._mean_decode_seconds
            )
            self.token_seconds = self._mean_decode_seconds / self._mean_tokens

    def compute_guaranteed_slots(self, slots: int) -> float:
        """Compute the slots that the route gets regardless of other routes.

        Args:
            slots: The slots of the service.

        Returns:
            The slots, which may be a fraction.
        """
        return min(
            self.estimate_slot_demand() * GUARANTEED_DEMAND_FRACTION,
            slots * MAX_GUARANTEED_FRACTION,
        )

    def find_mean_run(self) -> float:
        """Find the mean run time of the requests, served or not.

        Returns:
            The seconds.
        """
        # Answers that were served don't stand for all: long ones are refused
        # and broken off more often.
        return self.mean_run_seconds or self.run_seconds
