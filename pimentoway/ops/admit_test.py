"""Tests of the admission of slot requests, on the paused clock."""

import msgspec

from pimentoway.core import deployment, nodesetting, registry
from pimentoway.ops import admit, slot, slotclient_test, view

#: A service with free slots for which other requests wait.
BUSY = admit.Estimate(wait=0, first_event=0, has_idle_slots=False, node_share=1)

COST = 100


# A request that was withdrawn while its first back end still ran it gave its
# customer more than the quota.
def test_withdrawn_repeat_returns_no_quota() -> None:
    """Only the first run of a request is charged, and only it is refunded."""
    customer = deployment.Customer('c', ('key',), None, 1, COST, True, 200)
    configured = deployment.Deployment(
        1, (), {}, {'c': customer}, deployment.CallerLimits()
    )
    node_view = view.View()
    node_view.apply_changes(
        registry.Kind.configuration,
        registry.Changes(1, (registry.Change('main', configured),)),
        'test',
    )
    control = admit.AdmissionControl(nodesetting.Bounds(), node_view)
    first = msgspec.structs.replace(
        slotclient_test.REQUEST, customer='c', cost=COST
    )
    assert control.check(first, BUSY) == (None, 0)
    repeat = msgspec.structs.replace(first, number=2, repeats=1)
    assert control.check(repeat, BUSY) == (None, 0)
    control.refund(repeat)
    assert control.check(first, BUSY)[0] is slot.Reason.over_quota
