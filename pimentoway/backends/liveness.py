"""Checks whether a back end that closed a connection is still running.

A connection can break without a crash, for instance if it is reset on the way
or if the back end garbles its answer. A back end that has crashed refuses
further connections.
"""

import gevent

from pimentoway.core import connection, deployment, error

#: Seconds for connecting and for the answer. A back end that is only slow or
#: unreachable counts as running.
CHECK_SECONDS = 0.25


class LivenessChecker:
    """Checks back ends, each at most once at a time."""

    def __init__(self, probe: bytes) -> None:
        """Set the request that a running back end answers at once.

        Args:
            probe: The request, encoded.
        """
        self._probe = probe
        self._check_by_address: dict[str, gevent.Greenlet] = {}

    def has_crashed(self, engine: deployment.Engine) -> bool:
        """Check a back end that has just closed a connection.

        Args:
            engine: The back end.

        Returns:
            Whether it refuses connections or closes them without an answer.
        """
        check = self._check_by_address.get(engine.address)
        if check is None:
            check = gevent.spawn(is_refusing, engine.address, self._probe)
            self._check_by_address[engine.address] = check
            check.rawlink(
                lambda ended: self._check_by_address.pop(engine.address)
            )
        return check.get()


def is_refusing(address: str, probe: bytes) -> bool:
    """Tell whether a peer refuses or closes a new connection.

    Args:
        address: The peer, as ``ip:port``.
        probe: The request to send.

    Returns:
        Whether it does; false also if it does nothing in ``CHECK_SECONDS``.
    """
    try:
        sock = connection.connect(address, CHECK_SECONDS)
    except error.ConnectError as fault:
        return isinstance(fault.__cause__, ConnectionError)
    with sock:
        sock.settimeout(CHECK_SECONDS)
        try:
            sock.sendall(probe)
            return not sock.recv(1)
        except TimeoutError:
            return False
        except OSError:
            return True
