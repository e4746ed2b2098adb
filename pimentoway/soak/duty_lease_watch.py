"""Watches the lease of the duties, to measure the time without a holder."""

import dataclasses

import gevent

from pimentoway.core import clock, duty, error
from pimentoway.duties import lease
from pimentoway.soak import duty_usage

#: Seconds between two looks at the lease.
POLL_SECONDS = 0.05

#: Seconds by which a write of the lease may be seen late, on a busy machine.
SEEN_LATE_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class Tenure:
    """A tenure as the lease shows it.

    Attributes:
        holder: The node.
        boot: Its run.
        start: When the lease was seen to be acquired, in true time.
        renewed: When its last renewal was seen.
        was_released: Whether the holder released it.
    """

    holder: str
    boot: str
    start: float
    renewed: float
    was_released: bool = False


@dataclasses.dataclass(frozen=True)
class Vacancy:
    """The time between the death of a holder and the next tenure.

    Attributes:
        holder: The node that was killed.
        successor: The node that holds the lease after it.
        after_death: The seconds from the death to the acquisition.
        after_change: The same from when the successor may have begun to lead:
            from its own return if it is the killed node, as its wait then
            begins anew, and the waits of others meanwhile count for nothing.
        after_renewal: The seconds from the last renewal to the acquisition.
        was_disturbed: Whether there was another fault meanwhile.
    """

    holder: str
    successor: str
    after_death: float
    after_change: float
    after_renewal: float
    was_disturbed: bool = False


class LeaseWatch:
    """Reads the lease again and again.

    Attributes:
        tenures: The tenures, in order.
    """

    def __init__(self, store: duty.DutyStore, true_offset: float) -> None:
        """Set up the task; ``run`` starts it.

        Args:
            store: The store.
            true_offset: The true time at the boot clock's 0.
        """
        self.tenures: list[Tenure] = []
        self._store = store
        self._true_offset = true_offset
        self._revision = 0

    @property
    def holder(self) -> str:
        """Find who holds the lease, as far as it is known.

        Returns:
            The node; '' if nobody does.
        """
        if not self.tenures or self.tenures[-1].was_released:
            return ''
        return self.tenures[-1].holder

    def run(self) -> None:
        """Watch the lease, for ever."""
        while True:
            try:
                self.note(self._store.read_lease())
            except error.PlatformError:
                # The next look comes soon.
                gevent.sleep(POLL_SECONDS)
            gevent.sleep(POLL_SECONDS)

    def note(self, stored: duty.StoredDuty) -> None:
        """Note the present lease.

        Args:
            stored: The lease.
        """
        record = stored.record
        if record is None or stored.revision == self._revision:
            return
        self._revision = stored.revision
        now = clock.read_boot() + self._true_offset
        last = self.tenures[-1] if self.tenures else None
        if last is None or last.boot != record.boot or last.was_released:
            self.tenures.append(
                Tenure(record.holder, record.boot, now, now, record.released)
            )
            return
        self.tenures[-1] = dataclasses.replace(
            last, renewed=now, was_released=record.released
        )


def list_vacancies(
    tenures: list[Tenure], disturbances: list[duty_usage.Disturbance]
) -> list[Vacancy]:
    """List the times without a holder after a holder was killed.

    Args:
        tenures: The tenures, in order.
        disturbances: All faults.

    Returns:
        The times, in order.
    """
    vacancies = []
    for death in disturbances:
        earlier = [one for one in tenures if one.start < death.start]
        later = tenures[len(earlier) :]
        if death.kind == 'kill' and death.was_holder and earlier and later:
            end = later[0].start
            changed_at = death.start
            if later[0].holder == death.node:
                changed_at = death.end
            vacancies.append(
                Vacancy(
                    death.node,
                    later[0].holder,
                    end - death.start,
                    end - changed_at,
                    end - earlier[-1].renewed,
                    any(
                        fault.start < end and death.start < fault.end
                        for fault in disturbances
                        if fault is not death
                    ),
                )
            )
    return vacancies


def list_violations(
    vacancies: list[Vacancy], times: lease.Times, takeover_seconds: float
) -> list[str]:
    """Check the times without a holder against the arithmetic of the lease.

    Args:
        vacancies: The times.
        times: The term and the guard.
        takeover_seconds: The longest time in which the nodes agree on another
            leader that sees the lease.

    Returns:
        A sentence for each that is too short or too long.
    """
    wait = times.term + times.guard
    return [
        f'the lease was acquired {vacancy}, the term and the guard are {wait} s'
        for vacancy in vacancies
        if vacancy.after_renewal < wait - SEEN_LATE_SECONDS
        or (
            not vacancy.was_disturbed
            and vacancy.after_change > wait + takeover_seconds
        )
    ]
