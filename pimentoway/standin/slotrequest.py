"""Slot requests for tests, with defaults for all fields."""

import msgspec

from pimentoway.ops import slot

#: The service of all slot requests.
SERVICE = 'pool'


def make_slot_request(number: int, **changes: object) -> slot.SlotRequest:
    """Create a slot request.

    Args:
        number: Its number, which is also its fingerprint.
        **changes: The fields that differ from the defaults.

    Returns:
        The slot request.
    """
    default = slot.SlotRequest(
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
    return msgspec.structs.replace(default, **changes)
