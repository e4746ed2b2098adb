"""Checks texts in objects of the platform's store."""

import ipaddress
import re

import msgspec

#: The most characters of a name.
MAX_NAME = 1024

_PORT = re.compile('[1-9][0-9]{0,4}')
_MAX_PORT = 65535


def check_name(name: str) -> None:
    """Check the name of a back end, which requests to it carry in a header.

    Args:
        name: The name.

    Raises:
        ValidationError: If it is too long for a header or holds characters
            that a header can't.
    """
    if not (name.isascii() and name.isprintable() and len(name) <= MAX_NAME):
        raise msgspec.ValidationError(f'Name is {name!r}')


def check_address(address: str) -> None:
    """Check the address of a back end or a node.

    Args:
        address: The address.

    Raises:
        ValidationError: If it isn't an IPv4 address and a port.
    """
    host, _, port = address.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError as fault:
        raise msgspec.ValidationError(
            f'Address is not IP:PORT: {address!r}'
        ) from fault
    if not _PORT.fullmatch(port) or int(port) > _MAX_PORT:
        raise msgspec.ValidationError(f'Address has no port: {address!r}')
