"""Decides how many engines of each service to order.

An engine that is ordered now helps only after it has booted and warmed up. So
the number follows the peak of demand over a window that is longer than that,
not the demand of the moment. It is raised at once and lowered slowly: an engine
too few costs refused requests, an engine too many costs its price, and an
engine that is ended loses its cached prompts.

All times are on the monotonic clock: a step of the wall clock must neither drop
samples nor make an order due.
"""

import collections
import dataclasses
import math

from pimentoway.core import clock, deployment, duty, log, metric

#: How long an engine that serves is cold, in seconds: slow, with few requests.
COLD_SECONDS = 3.0

#: The window whose peak counts, in times that a new engine needs until it is
#: warm. With a boot time of 8 s, it holds four periods of a wave of 11 s. Half
#: of it left 2.9 times as much demand unmet under random bursts, for 2% fewer
#: engine-seconds (docs/design/scaling.md).
WINDOW_LEADS = 4

#: The factor of the window after an increase that came less than a window after
#: a reduction: bursts then recur more rarely than the window is long. It
#: applies until this many seconds have passed without another such increase.
WIDE_FACTOR = 4
WIDE_SECONDS = 600.0

#: The slots that are wanted for each one that the peak needed, and for each
#: one that was needed in most of the window; the larger number counts. A
#: burst that is in the window needs no room for another one on top of it.
PEAK_ROOM = 1.15
USUAL_ROOM = 1.3

#: The part of the window, from its lowest demand, that counts as usual: most of
#: a wave, but not a burst of a fifth of the window.
USUAL_QUANTILE = 0.8

#: The part of the wanted engines below which the number is raised. The gap
#: keeps noise in the peak from causing an order each second.
RAISE_FRACTION = 0.95

#: The samples that are averaged. Arrivals in a single second vary at random.
AVERAGED_SAMPLES = 2

#: The time in which waiting work should be done, in seconds.
BACKLOG_SECONDS = 4.0

#: The part of the slots of warm engines in use from which waiting requests are
#: a shortage of engines. Below it, they wait for another reason, such as pauses
#: of engines or the limits of cold ones.
BUSY_FRACTION = 0.8

#: The consecutive samples with waiting or refused requests that are a shortage.
SHORTAGE_SAMPLES = 2

#: The number of highest tiers whose peak is remembered, and for how long, in
#: seconds.
PROTECTED_TIERS = 2
PROTECTED_SECONDS = 600.0

#: The least time between two reductions, in seconds. Engines that end hand
#: over their work, and the next samples must show its effect.
REDUCTION_PAUSE_SECONDS = 4.0

#: The part of the wanted engines of a failure domain below which it counts as
#: lost, so that the others have to carry its work.
LOST_FRACTION = 0.5

#: The part of all wanted engines below which some count as missing. One engine
#: that can't be replaced must not keep the others from being reduced.
COMPLETE_FRACTION = 0.9

#: How long after the start of a tenure only increases are ordered, in seconds.
START_SECONDS = 10.0

#: The longest time between samples, in seconds; older ones are then dropped.
MAX_GAP_SECONDS = 5.0

#: The pause until an order is repeated, and the longest after refusals for too
#: many calls, in seconds.
REPEAT_SECONDS = 1.0
MAX_REPEAT_SECONDS = 8.0

_LOG = log.Log('scaling')


@dataclasses.dataclass(frozen=True)
class ZoneSample:
    """The engines of a service in one failure domain.

    Attributes:
        zone: The failure domain.
        ready: The engines that serve and are warm.
        present: The engines that serve or are cold.
        is_evacuated: Whether it gets no requests.
    """

    zone: str
    ready: int
    present: int
    is_evacuated: bool = False


@dataclasses.dataclass(frozen=True)
class ServiceSample:
    """What was seen of a service in a second.

    Attributes:
        service: The name of the service.
        limits: The limits for its engines.
        zones: Its engines by failure domain.
        engine_slots: The slots that an engine adds.
        demand_by_rank: The slots that arriving requests need, by tier.
        running: The slots in use.
        waiting_seconds: The estimated run times of waiting requests, in
            seconds.
        unserved: The requests that wait, and those refused in this second
            because they would wait too long.
    """

    service: str
    limits: deployment.Scaling
    zones: tuple[ZoneSample, ...]
    engine_slots: float
    demand_by_rank: tuple[tuple[int, float], ...]
    running: int = 0
    waiting_seconds: float = 0
    unserved: int = 0


@dataclasses.dataclass
class _ZoneLevel:
    """The wanted engines of a failure domain.

    Attributes:
        level: The wanted number of engines.
        confirmed: The number that the platform has, as far as is known; None
            if an order was sent and not answered.
        is_ordered: Whether an order was sent in this tenure.
        due: The earliest time of the next order, on the monotonic clock.
        pause: Seconds until the order is repeated.
    """

    level: int = 0
    confirmed: int | None = 0
    is_ordered: bool = False
    due: float = 0
    pause: float = REPEAT_SECONDS

    def adopt(self, present: int) -> None:
        """Take over the engines that an earlier holder ordered.

        Some of them may be missing for the moment, so the most that were seen
        count.

        Args:
            present: The engines that are present.
        """
        if not self.is_ordered and present > self.level:
            self.level = present
            self.confirmed = present

    def take_due(self, now: float) -> bool:
        """Tell whether an order is due, and note that it is sent.

        Args:
            now: The monotonic time.

        Returns:
            Whether to send an order.
        """
        if self.confirmed == self.level or self.due > now:
            return False
        self.due = now + self.pause
        # The platform may execute it without an answer.
        self.confirmed = None
        self.is_ordered = True
        return True


class ScalingPlanner:
    """Decides on the engines of all services from a sample each second."""

    def __init__(self, settings: duty.DutySettings) -> None:
        """Start without samples, at the start of a tenure.

        Args:
            settings: The duties of the deployment.
        """
        self._settings = settings
        self._began = clock.read_monotonic()
        self._plan_by_service: dict[str, _ServicePlan] = {}

    def begin_tenure(self) -> None:
        """Forget what was ordered: another holder may have ordered since."""
        self._began = clock.read_monotonic()
        for plan in self._plan_by_service.values():
            plan.level_by_zone.clear()

    def sample(self, samples: collections.abc.Iterable[ServiceSample]) -> None:
        """Decide on the engines after a second.

        Args:
            samples: What was seen of each service.
        """
        if duty.Duty.scaling not in self._settings.duties:
            return
        for sample in samples:
            plan = self._plan_by_service.get(sample.service)
            if plan is None:
                plan = _ServicePlan()
                self._plan_by_service[sample.service] = plan
            plan.update(sample, self._began)

    def plan(self) -> list[duty.EngineOrder]:
        """List the orders to send now.

        An order is listed again after a pause until its answer is noted.

        Returns:
            The orders.
        """
        now = clock.read_monotonic()
        orders = []
        for service, plan in self._plan_by_service.items():
            orders.extend(
                duty.EngineOrder(service, zone, zone_level.level)
                for zone, zone_level in plan.level_by_zone.items()
                if zone_level.take_due(now)
            )
        return orders

    def note_answered(self, order: duty.EngineOrder) -> None:
        """Record that the platform accepted an order.

        Args:
            order: The order.
        """
        zone_level = self._find_level(order)
        if zone_level:
            zone_level.confirmed = order.count
            zone_level.pause = REPEAT_SECONDS

    def note_limited(self, order: duty.EngineOrder) -> None:
        """Record that the platform refused an order for too many calls.

        Args:
            order: The order.
        """
        zone_level = self._find_level(order)
        if zone_level:
            zone_level.pause = min(MAX_REPEAT_SECONDS, 2 * zone_level.pause)
            zone_level.due = clock.read_monotonic() + zone_level.pause

    def _find_level(self, order: duty.EngineOrder) -> _ZoneLevel | None:
        plan = self._plan_by_service.get(order.service)
        return plan.level_by_zone.get(order.zone) if plan else None


class _ServicePlan:
    """The wanted engines of one service.

    Attributes:
        level_by_zone: The wanted engines by failure domain.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self.level_by_zone: dict[str, _ZoneLevel] = {}
        self._history = _DemandHistory()
        self._changed_at: float = 0
        self._reduced_at = -math.inf
        self._incomplete_since: float | None = None
        self._shortages = 0
        self._reported_total = 0

    def update(self, sample: ServiceSample, began: float) -> None:
        """Decide on the engines after a second.

        Args:
            sample: What was seen.
            began: The start of the tenure, on the monotonic clock.
        """
        self._history.add(sample)
        zones = self._update_zones(sample)
        serving = [zone for zone in zones if not zone.is_evacuated]
        total = sum(self.level_by_zone[zone.zone].level for zone in serving)
        if not serving:
            return
        wanted = math.ceil(self._history.compute_slots() / sample.engine_slots)
        target = self._find_shortage_target(sample, serving, total)
        if total < wanted * RAISE_FRACTION:
            target = max(target, wanted)
        is_known = self._is_known(sample.limits, began)
        if target > total:
            self._raise(sample, serving, target - total)
        elif is_known and self._may_reduce(zones):
            ready = sum(zone.ready for zone in serving)
            self._reduce(sample, serving, min(total, ready) - wanted)
        self._limit(sample.limits, is_known)
        self._report(sample, total, wanted)

    def _update_zones(self, sample: ServiceSample) -> list[ZoneSample]:
        # A failure domain without any engines is not in the sample.
        sample_by_zone = {
            zone: ZoneSample(zone, 0, 0) for zone in self.level_by_zone
        }
        for seen in sample.zones:
            sample_by_zone[seen.zone] = seen
            known = self.level_by_zone.setdefault(seen.zone, _ZoneLevel())
            known.adopt(seen.present)
        return list(sample_by_zone.values())

    def _is_known(self, limits: deployment.Scaling, began: float) -> bool:
        # Whether the samples and the tenure suffice to order fewer engines.
        enough = max(2 * limits.boot_seconds, find_window(limits))
        return (
            clock.read_monotonic() - began >= START_SECONDS
            and self._history.measure_span() >= enough
        )

    def _find_shortage_target(
        self, sample: ServiceSample, serving: list[ZoneSample], total: int
    ) -> int:
        # One more engine for each failure domain while requests wait or are
        # refused although all engines are there and busy. Those that are on
        # their way, ordered or replaced, may suffice.
        ready = sum(zone.ready for zone in serving)
        busy = sample.running >= BUSY_FRACTION * ready * sample.engine_slots
        is_short = sample.unserved > 0 and busy
        self._shortages = self._shortages + 1 if is_short else 0
        missing = ready < COMPLETE_FRACTION * total
        if self._is_awaiting(sample.limits, missing):
            return 0
        return (
            total + len(serving) if self._shortages >= SHORTAGE_SAMPLES else 0
        )

    def _is_awaiting(self, limits: deployment.Scaling, missing: bool) -> bool:
        # Engines that are missing for twice the time that they need to start
        # will not come.
        if not missing:
            self._incomplete_since = None
            return False
        now = clock.read_monotonic()
        if self._incomplete_since is None:
            self._incomplete_since = now
        return now - self._incomplete_since < 2 * find_lead(limits)

    def _may_reduce(self, zones: list[ZoneSample]) -> bool:
        now = clock.read_monotonic()
        if self._shortages or self._incomplete_since is not None:
            self._changed_at = now
        if now < self._changed_at + REDUCTION_PAUSE_SECONDS:
            return False
        return not any(
            zone.is_evacuated
            or zone.ready < LOST_FRACTION * self.level_by_zone[zone.zone].level
            for zone in zones
        )

    def _raise(
        self, sample: ServiceSample, serving: list[ZoneSample], count: int
    ) -> None:
        levels = [self.level_by_zone[zone.zone] for zone in serving]
        for _ in range(count):
            lowest = min(levels, key=lambda known: known.level)
            if lowest.level >= sample.limits.maximum:
                break
            lowest.level += 1
        # What was raised must prove to be too much for a while.
        self._changed_at = clock.read_monotonic()
        lowered = self._changed_at - self._reduced_at
        if lowered < find_window(sample.limits):
            self._history.widen()

    def _reduce(
        self, sample: ServiceSample, serving: list[ZoneSample], count: int
    ) -> None:
        levels = [self.level_by_zone[zone.zone] for zone in serving]
        levels.sort(key=lambda known: known.level, reverse=True)
        for known in levels[: max(0, count)]:
            if known.level > sample.limits.minimum:
                known.level -= 1
                self._changed_at = clock.read_monotonic()
                self._reduced_at = self._changed_at

    def _limit(self, limits: deployment.Scaling, is_known: bool) -> None:
        for known in self.level_by_zone.values():
            known.level = min(known.level, limits.maximum)
            # An order for the minimum could reduce what an earlier holder
            # ordered, as long as engines are starting or are being replaced.
            if is_known:
                known.level = max(known.level, limits.minimum)

    def _report(self, sample: ServiceSample, total: int, wanted: int) -> None:
        metric.ENGINE_DEMAND.labels(sample.service).set(
            self._history.read_last()
        )
        level_by_zone = {}
        for name, known in self.level_by_zone.items():
            level_by_zone[name] = known.level
            metric.ENGINE_LEVEL.labels(sample.service, name).set(known.level)
        if sum(level_by_zone.values()) == self._reported_total:
            return
        self._reported_total = sum(level_by_zone.values())
        _LOG.write(
            'number of engines is changed.',
            service=sample.service,
            levels=level_by_zone,
            ready={zone.zone: zone.ready for zone in sample.zones},
            evacuated=[zone.zone for zone in sample.zones if zone.is_evacuated],
            before=total,
            wanted=wanted,
            engine_slots=round(sample.engine_slots, 2),
            running=sample.running,
            waiting_seconds=round(sample.waiting_seconds, 2),
            unserved=sample.unserved,
            **self._history.describe(),
        )


class _DemandHistory:
    """The demand for the slots of one service over time."""

    def __init__(self) -> None:
        """Start without samples."""
        self._arrived: collections.deque[float] = collections.deque(
            maxlen=AVERAGED_SAMPLES
        )
        # The demand in slots, by time.
        self._demands: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        # The demand of the highest tiers, without those that a later one
        # exceeds: the first one is the peak.
        self._protected: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._started: float = 0
        self._wide_until: float = 0

    def widen(self) -> None:
        """Remember the demand for longer, as a reduction was too early."""
        self._wide_until = clock.read_monotonic() + WIDE_SECONDS

    def add(self, sample: ServiceSample) -> None:
        """Add the demand of a second.

        Args:
            sample: What was seen.
        """
        now = clock.read_monotonic()
        if not self._demands or now - self._demands[-1][0] > MAX_GAP_SECONDS:
            self._demands.clear()
            self._arrived.clear()
            self._started = now
        self._arrived.append(sum(slots for _, slots in sample.demand_by_rank))
        arrived = sum(self._arrived) / len(self._arrived)
        demand = max(arrived, sample.running)
        demand += sample.waiting_seconds / BACKLOG_SECONDS
        self._demands.append((now, demand))
        window = find_window(sample.limits)
        if now < self._wide_until:
            window *= WIDE_FACTOR
        while self._demands[0][0] < now - window:
            self._demands.popleft()
        self._add_protected(now, sample)

    def compute_slots(self) -> float:
        """Compute the slots that are wanted, with room for a burst.

        Returns:
            The slots.
        """
        fields = self.describe()
        return max(
            PEAK_ROOM * fields['peak'],
            USUAL_ROOM * fields['usual'],
            fields['protected'],
        )

    def describe(self) -> dict[str, float]:
        """Describe the demand, for decisions and the log.

        Returns:
            The peak and the usual demand of the window and the peak of the
            highest tiers, in slots, and the seconds of samples.
        """
        ordered = sorted(demand for _, demand in self._demands)
        index = min(len(ordered) - 1, int(USUAL_QUANTILE * len(ordered)))
        return {
            'peak': round(ordered[-1], 2),
            'usual': round(ordered[index], 2),
            'protected': round(self._protected[0][1], 2),
            'span': round(self.measure_span(), 1),
        }

    def measure_span(self) -> float:
        """Measure for how long there are samples without a gap.

        Returns:
            The seconds.
        """
        return self._demands[-1][0] - self._started

    def read_last(self) -> float:
        """Read the last demand.

        Returns:
            The slots.
        """
        return self._demands[-1][1]

    def _add_protected(self, now: float, sample: ServiceSample) -> None:
        by_rank = sorted(one for one in sample.demand_by_rank if one[1] > 0)
        slots = sum(demand for _, demand in by_rank[:PROTECTED_TIERS])
        while self._protected and self._protected[-1][1] <= slots:
            self._protected.pop()
        self._protected.append((now, slots))
        while self._protected[0][0] < now - PROTECTED_SECONDS:
            self._protected.popleft()


def find_lead(limits: deployment.Scaling) -> float:
    """Find how long a new engine takes until it is warm.

    Args:
        limits: The limits for the engines.

    Returns:
        The seconds.
    """
    return limits.boot_seconds + COLD_SECONDS


def find_window(limits: deployment.Scaling) -> float:
    """Find the window whose peak decides.

    Args:
        limits: The limits for the engines.

    Returns:
        The seconds.
    """
    return WINDOW_LEADS * find_lead(limits)
