"""Asks for tests, of which only what matters to a test is named."""

import msgspec

from pimentoway.ops import ask

#: The service of the asks.
SERVICE = 'pool'


def make_ask(number: int, **changes: object) -> ask.Ask:
    """Make an ask.

    Args:
        number: Its number, which also tells it from others.
        **changes: What is different.

    Returns:
        The ask.
    """
    plain = ask.Ask(
        number=number,
        service=SERVICE,
        route='r',
        zone='z',
        rank=0,
        customer='',
        cost=0,
        goal_left=1,
        time_left=60,
        patience_left=60,
        prompt_tokens=1,
        output_tokens=1,
        size=0,
        fingerprint=number,
    )
    return msgspec.structs.replace(plain, **changes)
