"""Asks for tests, of which only what matters to a test is named."""

import msgspec

from pimentoway.ops import slot

#: The service of the asks.
SERVICE = 'pool'


def make_ask(number: int, **changes: object) -> slot.SlotRequest:
    """Make a slot request.

    Args:
        number: Its number, which also tells it from others.
        **changes: What is different.

    Returns:
        The slot request.
    """
    plain = slot.SlotRequest(
        number=number,
        service=SERVICE,
        route='r',
        zone='z',
        rank=0,
        customer='',
        cost=0,
        target_left=1,
        time_left=60,
        patience_left=60,
        prompt_tokens=1,
        output_tokens=1,
        work_tokens=0,
        fingerprint=number,
    )
    return msgspec.structs.replace(plain, **changes)
