"""Sizes of simulated deployments, including those of present users."""

import dataclasses

from pimentoway.standin import model


@dataclasses.dataclass(frozen=True)
class Shape:
    """The size and the declared limits of a simulated deployment.

    Attributes:
        zones: The names of the failure domains.
        nodes: The number of nodes in each failure domain.
        engines: The traits of the engines in each failure domain.
        engine_counts: How many of ``engines`` each failure domain has, from
            the first on; empty for all of them.
        applications: The number of applications in each failure domain.
        tiers: The number of tiers; rank 0 is the highest.
        customers: The number of customers.
        deadline: Time limit of a request, in seconds.
        cold_slots: The declared limit of concurrent requests at a cold back
            end.
        cold_seconds: The declared length of a cold start, in seconds.
        queue_tokens: The limit of tokens in one queue.
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


def make_albumar(
    traits: tuple[model.Traits, ...], **attributes: object
) -> Shape:
    """Create a shape of the size of Estudio Albumar's deployment.

    Args:
        traits: The traits of three engines; each failure domain has the first
            two or all three.
        **attributes: Other attributes of the shape.

    Returns:
        Four failure domains, eight nodes, ten engines, four applications.
    """
    return Shape(
        zones=('artigas', 'salto', 'rocha', 'maldonado'),
        engines=traits,
        engine_counts=(3, 3, 2, 2),
        customers=5,
        **attributes,
    )


def make_quetzal(
    traits: tuple[model.Traits, ...], **attributes: object
) -> Shape:
    """Create a shape of the size of Tarjetas Carrito Quetzal's deployment.

    Args:
        traits: The traits of engines; each failure domain has the first one or
            two.
        **attributes: Other attributes of the shape.

    Returns:
        Three failure domains, six nodes, five engines, three applications.
    """
    return Shape(
        zones=('mixco', 'antigua', 'escuintla'),
        engines=traits,
        engine_counts=(2, 2, 1),
        customers=5,
        **attributes,
    )
