"""Connects the duties with the parts of an entry node."""

import collections
import dataclasses
import functools

from pimentoway.callers import forward
from pimentoway.core import duty, nodesetting
from pimentoway.duties import (
    assembly,
    demand,
    holder,
    publisher,
    scaling,
    truetime,
    usagecopy,
    usagecount,
    usagesender,
    usagetable,
)
from pimentoway.nodes import election, link
from pimentoway.ops import broker, slotclient, view


@dataclasses.dataclass(frozen=True)
class NodeParts:
    """The parts of a node that the duties use.

    Attributes:
        settings: The settings of the node.
        boot: Identifies its run.
        leads: Tells whether the node decides for all nodes.
        broker: Its broker.
        slots: Sends messages to the broker in use.
        forwarder: Serves the requests of callers.
        view: The node's copy of the registry.
        links: The links of the nodes that use its broker.
    """

    settings: nodesetting.NodeSettings
    boot: str
    leads: collections.abc.Callable[[], bool]
    broker: broker.Broker
    slots: slotclient.SlotClient
    forwarder: forward.Forwarder
    view: view.View
    links: link.LinkServer


def connect(
    parts: NodeParts, access: assembly.Access | None
) -> assembly.Duties | None:
    """Create the duties of a node; nothing runs yet.

    Args:
        parts: The parts of the node.
        access: The platform; ``None`` if it has no duties.

    Returns:
        The duties; ``None`` if the settings have none.
    """
    settings = parts.settings.duties
    if settings is None or access is None:
        return None
    return assembly.connect(
        settings,
        holder.Node(parts.settings.name, parts.boot, parts.leads),
        access,
        make_sources(parts, settings),
    )


def make_sources(
    parts: NodeParts, settings: duty.DutySettings
) -> publisher.Sources:
    """Connect what the duties report and order with the parts of a node.

    Args:
        parts: The parts of the node.
        settings: The settings of the duties.

    Returns:
        The sources of the duties that the settings have.
    """
    sources = publisher.Sources()
    if duty.Duty.usage in settings.duties:
        sources = _connect_usage(parts, settings)
    if duty.Duty.scaling in settings.duties:
        sources = _connect_scaling(parts, settings, sources)
    return sources


def list_keepers(parts: NodeParts) -> list[usagecopy.Keeper]:
    """List the nodes that keep copies of what a broker's process knows.

    Args:
        parts: The parts of the broker's node.

    Returns:
        Attached nodes: those of other failure domains first, as one may be lost
        as a whole, and then those that would be the broker next.
    """
    peers = parts.view.peers_by_name
    zone = parts.settings.zone
    ranked = sorted(
        (peer.zone == zone, election.rank(peer), requester, attached.number)
        for requester, attached in parts.links.link_by_requester.items()
        if (peer := peers.get(attached.peer))
    )
    return [
        usagecopy.Keeper(requester, number)
        for _, _, requester, number in ranked[: usagecopy.KEEPERS]
    ]


def _connect_usage(
    parts: NodeParts, settings: duty.DutySettings
) -> publisher.Sources:
    true_clock = truetime.TrueClock()
    counter = usagecount.UsageCounter(settings, true_clock)
    table = usagetable.UsageTable(
        settings,
        parts.slots.requester,
        true_clock,
        lambda: parts.view.peers_by_name,
    )
    parts.forwarder.observe_usage(counter)
    parts.broker.usage = table
    copier = usagecopy.UsageCopier(
        table,
        parts.slots,
        functools.partial(list_keepers, parts),
        parts.links.reply,
    )
    sender = usagesender.UsageSender(counter, parts.slots, copier)
    return publisher.Sources(usage=table, tasks=(sender.run,))


def _connect_scaling(
    parts: NodeParts, settings: duty.DutySettings, sources: publisher.Sources
) -> publisher.Sources:
    planner = scaling.ScalingPlanner(settings)
    sampler = demand.DemandSampler(parts.broker, parts.view)
    sampling = demand.SamplingTask(planner, sampler)
    return dataclasses.replace(
        sources, planner=planner, tasks=(*sources.tasks, sampling.run)
    )
