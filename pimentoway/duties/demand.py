"""Makes the inputs of engine orders from the broker and the view."""

import gevent

from pimentoway.core import clock
from pimentoway.duties import scaling
from pimentoway.ops import broker, enginestate, view, waitqueue

#: Seconds between two samples.
SAMPLE_SECONDS = 1.0

#: The least fraction of the nodes that a broker must serve: what fewer nodes
#: ask for tells too little of all.
MIN_SHARE = 0.5

#: The longest time between two samples, in seconds. After a longer gap, as in
#: a suspended process, the arrivals can't be ascribed to seconds.
MAX_GAP_SECONDS = 3.0


class DemandSampler:
    """Measures the demand of all services for which engines are ordered."""

    def __init__(
        self, node_broker: broker.Broker, registry_view: view.View
    ) -> None:
        """Start without samples.

        Args:
            node_broker: The broker of this node.
            registry_view: The node's copy of the registry.
        """
        self._broker = node_broker
        self._view = registry_view
        self._sampled_at: float = 0
        self._sampled_at_boot: float = 0
        self._earlier_by_service: dict[str, waitqueue.ServiceDemand] = {}

    def sample(self) -> tuple[scaling.ServiceSample, ...]:
        """Measure the demand since the last call; call it once a second.

        Returns:
            A sample of each service with limits for its engines; none if the
            broker serves less than ``MIN_SHARE`` of the nodes, after a gap, or
            the first time.
        """
        share = self._broker.engines.share
        configured = self._view.deployment
        if configured is None or share < MIN_SHARE:
            self._earlier_by_service = {}
            return ()
        elapsed, gap = self._measure_elapsed()
        demand_by_service = {
            service.name: self._broker.measure_demand(service.name)
            for service in configured.services_by_name.values()
            if service.scaling
        }
        earlier_by_service = self._earlier_by_service
        self._earlier_by_service = demand_by_service
        if elapsed <= 0 or gap > MAX_GAP_SECONDS:
            return ()
        return tuple(
            self._make_sample(
                name, demand, earlier_by_service[name], elapsed * share
            )
            for name, demand in demand_by_service.items()
            if name in earlier_by_service
        )

    def _measure_elapsed(self) -> tuple[float, float]:
        # The seconds since the last call without and with the time for which
        # the VM was suspended, in which no request could arrive. Neither
        # follows steps of the wall clock.
        now = clock.read_monotonic()
        boot = clock.read_boot()
        elapsed = now - self._sampled_at
        gap = boot - self._sampled_at_boot
        self._sampled_at = now
        self._sampled_at_boot = boot
        return elapsed, gap

    def _make_sample(
        self,
        name: str,
        demand: waitqueue.ServiceDemand,
        earlier: waitqueue.ServiceDemand,
        seconds: float,
    ) -> scaling.ServiceSample:
        # `seconds` is the time since the earlier demand, reduced by the part
        # of the nodes whose requests were not seen.
        service = self._view.deployment.services_by_name[name]
        states = [
            state
            for state in self._broker.engines.state_by_name.values()
            if state.engine.service == name
        ]
        before = earlier.arrived_seconds_by_rank
        return scaling.ServiceSample(
            service=name,
            limits=service.scaling,
            zones=self._list_zones(states),
            engine_slots=_find_engine_slots(states, service.slots),
            demand_by_rank=tuple(
                (rank, (arrived - before.get(rank, 0)) / seconds)
                for rank, arrived in demand.arrived_seconds_by_rank.items()
            ),
            running=sum(len(state.run_by_key) for state in states),
            waiting_seconds=demand.waiting_seconds,
            unserved=demand.waiting + demand.refused - earlier.refused,
        )

    def _list_zones(
        self, states: list[enginestate.EngineState]
    ) -> tuple[scaling.ZoneSample, ...]:
        zones = {state.engine.zone for state in states}
        return tuple(
            self._sample_zone(
                zone, [state for state in states if state.engine.zone == zone]
            )
            for zone in sorted(zones)
        )

    def _sample_zone(
        self, zone: str, states: list[enginestate.EngineState]
    ) -> scaling.ZoneSample:
        notices = self._broker.notices
        staying = [
            state
            for state in states
            if not state.engine.draining
            and not notices.is_leaving(state.engine)
        ]
        return scaling.ZoneSample(
            zone=zone,
            ready=sum(not state.is_cold() for state in staying),
            present=len(staying),
            is_evacuated=zone in self._view.evacuated_zones,
        )


class SamplingTask:
    """Tells a planner the demand each second."""

    def __init__(
        self, planner: scaling.ScalingPlanner, sampler: DemandSampler
    ) -> None:
        """Set up the task; ``run`` starts it.

        Args:
            planner: The planner. It also learns the demand while this node
                does not hold the lease of the duties.
            sampler: Measures the demand.
        """
        self._planner = planner
        self._sampler = sampler

    def run(self) -> None:
        """Sample the demand, for ever."""
        while True:
            gevent.sleep(SAMPLE_SECONDS)
            self._planner.sample(self._sampler.sample())


def _find_engine_slots(
    states: list[enginestate.EngineState], configured: int
) -> float:
    # The mean of the registered ones; engines of a service may differ.
    registered = [state.engine.slots for state in states if state.engine.slots]
    if registered:
        return sum(registered) / len(registered)
    return configured or enginestate.DEFAULT_SLOTS
