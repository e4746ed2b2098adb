"""When refused requests return after all back ends of a service paused.

All back ends may turn requests away at once, for the same time. Requests that
were refused meanwhile must not all return at its end.
"""

from pimentoway.ops import slot

#: The time in which the refused requests of a tier return, in seconds; those
#: of the next lower tier follow.
SPREAD_SECONDS = 0.5

#: The tiers that return one after another; lower ones return with the last.
MAX_TIERS = 4

# Multiplying by the golden ratio spreads fingerprints that follow each other.
_FACTOR = 0x9E3779B97F4A7C15
_BITS = 64
_MODULUS = 1 << _BITS


def compute_return_seconds(
    opening_seconds: float, request: slot.SlotRequest
) -> float:
    """Compute when a request should return that could not wait.

    Args:
        opening_seconds: Seconds until the first back end wants requests again.
        request: The slot request.

    Returns:
        The seconds, never less than ``opening_seconds``. They are the same
        for each submission of the request at that time.
    """
    fraction = request.fingerprint * _FACTOR % _MODULUS / _MODULUS
    tier = min(request.rank, MAX_TIERS - 1)
    return opening_seconds + (tier + fraction) * SPREAD_SECONDS
