"""A stand-in for peers of a node that send bytes without end, and fast.

It runs as a process of its own, as a peer in the process under test would send
only when the node waits: ``python -m pimentoway.platform.flooding_peer``. It
prints the port of an engine; a line with the node's port for callers starts a
caller.
"""

import collections
import contextlib
import socket
import sys
import threading
import types

#: The bytes of a block that is sent again and again, at least.
BLOCK_BYTES = 65_536

#: The most bytes that are read at once.
RECEIVE_BYTES = 1_048_576

#: The engine's answers after the head, by the path of the request.
ENDLESS_BY_PATH = types.MappingProxyType(
    {
        b'/stream/events': b'id: 1\ndata: piece\n\n',
        b'/stream/comments': b': comment\n\n',
        b'/stream/lines': b'\n',
        b'/safe/body': b'z',
    }
)

#: What a caller sends without end after its request.
JUNK = b'junk'


def make_block(repeated: bytes) -> bytes:
    """Repeat bytes until they fill a block.

    Args:
        repeated: The bytes.

    Returns:
        The block.
    """
    return repeated * (BLOCK_BYTES // len(repeated) + 1)


def answer(sock: socket.socket) -> None:
    """Answer a request, without end if its path says so.

    Args:
        sock: The connection.
    """
    lines = sock.recv(BLOCK_BYTES).split(b'\r\n')
    names = (b'pimentoway-attempt-id', b'x-request-id')
    named = [line for line in lines if line.lower().startswith(names)]
    head = [b'HTTP/1.1 200 OK', *named, b'Pimentoway-Response-Seal: e']
    repeated = ENDLESS_BY_PATH.get(lines[0].split(b' ')[1], b'')
    if not repeated:
        head.append(b'Content-Length: 4')
    sock.sendall(b'%s\r\n\r\ndone' % b'\r\n'.join(head))
    send_without_end(sock, repeated)


def send_without_end(sock: socket.socket, repeated: bytes) -> None:
    """Send bytes until the peer closes the connection.

    Args:
        sock: The connection, which is closed then.
        repeated: The bytes; nothing is sent if they are empty.
    """
    block = make_block(repeated) if repeated else b''
    with contextlib.suppress(OSError):
        while block:
            sock.sendall(block)
    sock.close()


def accept(server: socket.socket) -> None:
    """Answer the requests of the node, each in a thread.

    Args:
        server: The listening socket.
    """
    while True:
        sock, _ = server.accept()
        start_thread(answer, sock)


def read_all(sock: socket.socket) -> None:
    """Read as fast as possible until the connection ends.

    Args:
        sock: The connection.
    """
    received = b'none yet'
    with contextlib.suppress(OSError):
        while received:
            received = sock.recv(RECEIVE_BYTES)


def start_thread(
    function: collections.abc.Callable, *options: object
) -> threading.Thread:
    """Start a thread that ends with the process.

    Args:
        function: What it runs.
        *options: The arguments of the function.

    Returns:
        The thread.
    """
    thread = threading.Thread(target=function, args=options, daemon=True)
    thread.start()
    return thread


def main() -> None:
    """Serve the engine, and send the request that a line of input gives."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        sys.stdout.write(f'{server.getsockname()[1]}\n')
        sys.stdout.flush()
        start_thread(accept, server)
        port = int(sys.stdin.readline())
        request = bytes.fromhex(sys.stdin.readline())
        with socket.create_connection(('127.0.0.1', port)) as caller:
            caller.sendall(request)
            reader = start_thread(read_all, caller)
            if request.endswith(JUNK):
                send_without_end(caller, JUNK)
            reader.join()
        sys.stdin.readline()


if __name__ == '__main__':
    main()
