"""Runs a node whose connections to some addresses go to others instead.

So each node of a soak can reach an engine by a proxy of its own, although all
read the same address in the store and tell it to each other.
"""

import functools
import importlib
import json
import os
import sys
from collections import abc

from pimentoway.tools import early

#: The environment variable that holds a JSON object: for each address,
#: ``IP:PORT``, the one to which connections go.
ADDRESSES_VARIABLE = 'PIMENTOWAY_SOAK_ADDRESSES'


def main() -> int:
    """Run the command line of the system.

    Returns:
        The exit status.
    """
    early.ignore_early_reload(sys.argv[1:])
    gevent_socket = importlib.import_module('gevent.socket')
    gevent_socket.create_connection = functools.partial(
        _connect,
        gevent_socket.create_connection,
        json.loads(os.environ[ADDRESSES_VARIABLE]),
    )
    return importlib.import_module('pimentoway.tools.launch').main()


def _connect(
    connect: abc.Callable,
    address_by_replaced: dict[str, str],
    peer: tuple[str, int],
    *options: object,
) -> object:
    named = f'{peer[0]}:{peer[1]}'
    host, _, port = address_by_replaced.get(named, named).rpartition(':')
    return connect((host, int(port)), *options)


if __name__ == '__main__':
    sys.exit(main())
