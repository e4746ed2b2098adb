"""What a world of tests consists of, at today's users' sizes among others."""

import dataclasses

from pimentoway.standin import model


@dataclasses.dataclass(frozen=True)
class Shape:
    """What a world consists of.

    Attributes:
        zones: The failure domains.
        nodes: The nodes in each.
        engines: The traits of the engines in each.
        engine_counts: The engines in each, if not all of ``engines``.
        applications: The applications in each.
        tiers: The number of tiers; the first is the highest.
        customers: The number of customers.
        deadline: Seconds that a request may take.
        cold_slots: The requests that a cold back end bears, as declared.
        cold_seconds: Seconds for which a back end counts as cold.
        queue_tokens: The tokens that may wait in one queue.
    """

    zones: tuple[str, ...] = ('norte', 'sur')
    nodes: int = 2
    engines: tuple[model.Traits, ...] = (model.Traits(), model.Traits())
    engine_counts: tuple[int, ...] = ()
    applications: int = 1
    tiers: int = 2
    customers: int = 2
    deadline: float = 20
    cold_slots: int = 2
    cold_seconds: float = 1
    queue_tokens: int = 400_000


def make_albumar(traits: tuple[model.Traits, ...], **extra: object) -> Shape:
    """Make the shape of Estudio Albumar's deployment.

    Args:
        traits: The traits of three engines, of which each failure domain has
            two or three.
        **extra: Further attributes.

    Returns:
        Four failure domains, eight nodes, ten engines, four applications.
    """
    return Shape(
        zones=('artigas', 'salto', 'rocha', 'maldonado'),
        engines=traits,
        engine_counts=(3, 3, 2, 2),
        customers=5,
        **extra,
    )


def make_quetzal(traits: tuple[model.Traits, ...], **extra: object) -> Shape:
    """Make the shape of Tarjetas Carrito Quetzal's deployment.

    Args:
        traits: The traits of two engines, of which each failure domain has
            one or two.
        **extra: Further attributes.

    Returns:
        Three failure domains, six nodes, five engines, three applications.
    """
    return Shape(
        zones=('mixco', 'antigua', 'escuintla'),
        engines=traits,
        engine_counts=(2, 2, 1),
        customers=5,
        **extra,
    )
