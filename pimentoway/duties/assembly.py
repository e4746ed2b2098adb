"""Creates and connects the parts of the duties of a node."""

import collections
import dataclasses

from pimentoway.core import duty
from pimentoway.duties import holder, lease, publisher, usagebook

#: Makes the adapter of the platform's API, given the times and what tells
#: whether a call may be sent.
ApiMaker = collections.abc.Callable[
    [lease.Times, collections.abc.Callable[[int, float], bool]], duty.DutyApi
]


@dataclasses.dataclass(frozen=True)
class Access:
    """What the duties need of the platform.

    Attributes:
        store: The store of the lease.
        make_api: Makes the adapter of the API.
    """

    store: duty.DutyStore
    make_api: ApiMaker


@dataclasses.dataclass(frozen=True)
class Duties:
    """The duties of a node.

    Attributes:
        holder: Holds the lease.
        tasks: What runs in the background.
    """

    holder: holder.Holder
    tasks: tuple[collections.abc.Callable[[], None], ...]


def connect(
    settings: duty.DutySettings,
    node: holder.Node,
    access: Access,
    sources: publisher.Sources,
) -> Duties:
    """Create the parts; nothing runs yet.

    Args:
        settings: The settings. Sources of other duties than these are not
            used.
        node: The node.
        access: The platform.
        sources: What is reported and ordered.

    Returns:
        The duties.
    """
    if duty.Duty.usage not in settings.duties:
        sources = dataclasses.replace(sources, usage=None)
    if duty.Duty.scaling not in settings.duties:
        sources = dataclasses.replace(sources, planner=None)
    times = lease.make_times(settings)
    book = usagebook.UsageBook(settings, sources.usage)
    lease_holder = holder.Holder(node, times, access.store, book)
    duty_publisher = publisher.Publisher(
        lease_holder,
        access.make_api(times, lease_holder.may_act),
        book,
        sources,
        settings.calls_per_second,
    )
    return Duties(
        lease_holder, (lease_holder.run, duty_publisher.run, *sources.tasks)
    )
