"""How many connections each port of a node accepts.

The sum of all, with the descriptors of the process itself and those for
connections to back ends, nodes and the store, stays within the limit of the
process; docs/PROOFS.md has the figures.
"""

import dataclasses

#: The descriptors of a process at rest (17 were measured), and some room.
REST_DESCRIPTORS = 24

#: The fractions of all descriptors for connections that the node opens, links
#: of other nodes, relayed requests, and each of the two service ports.
OPENED_FRACTION = 0.12
LINKS_FRACTION = 0.25
RELAYS_FRACTION = 0.1
SERVICE_FRACTION = 0.015

#: The most of each that a node needs: the largest deployment has 380 nodes.
MAX_OPENED = 400
MAX_LINKS = 400
MAX_RELAYS = 192
MAX_SERVICE = 16

#: The fewest connections to a service port, and the number of these ports.
MIN_SERVICE = 2
SERVICE_PORTS = 2


@dataclasses.dataclass(frozen=True)
class PortLimits:
    """The most accepted connections of a node.

    Attributes:
        callers: To the port for callers.
        links: To the port for other nodes.
        relays: To the port for relayed requests.
        service: To the readiness port, and to the metrics port.
    """

    callers: int
    links: int
    relays: int
    service: int


def compute_limits(descriptors: int) -> PortLimits:
    """Divide the descriptors of a process among its ports.

    Args:
        descriptors: The limit of the process.

    Returns:
        The limits; callers get what is left.
    """
    opened = min(int(descriptors * OPENED_FRACTION), MAX_OPENED)
    links = min(int(descriptors * LINKS_FRACTION), MAX_LINKS)
    relays = min(int(descriptors * RELAYS_FRACTION), MAX_RELAYS)
    service = int(descriptors * SERVICE_FRACTION)
    service = max(MIN_SERVICE, min(service, MAX_SERVICE))
    used = REST_DESCRIPTORS + opened + links + relays + SERVICE_PORTS * service
    return PortLimits(max(descriptors - used, 1), links, relays, service)
