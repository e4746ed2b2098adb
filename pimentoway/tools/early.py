"""Signal handling before the slow imports of a program."""

import signal

#: The command line argument that runs a node on the users' platform.
EDGE_VERB = 'edge'


def ignore_early_reload(arguments: list[str]) -> None:
    """Ignore SIGHUP until the node installs its handler for it.

    By default the signal, which asks for a reload of the settings, would end
    the process. It can be ignored here, as the settings aren't read yet.

    Args:
        arguments: The command line without the program; other programs than
            the node keep the default.
    """
    if arguments == [EDGE_VERB]:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
