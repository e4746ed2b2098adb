"""How an attempt at a back end ends without an answer for the caller."""


class RetryError(Exception):
    """The attempt failed and the request should go to another back end."""


class HandedOverError(Exception):
    """Another attempt goes on with the request."""
