"""Stand-ins for the platform's store, engines and callers, and the nodes.

They use threads and the standard library only, follow the users' pages, and
listen on free ports of the loopback. Nothing is shared with the code under
review: nodes run as processes, by the command of the deploy file.
"""

import collections
import contextlib
import http.server
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'shop.example'
KEY = 'key-studio'
ATTEMPT = 'pimentoway-attempt-id'
#: The exit status of a case that could not run.
CANNOT_RUN = 2


def find_ports(count: int) -> list[int]:
    """Find a run of free ports.

    Args:
        count: How many.

    Returns:
        The ports, in order.

    Raises:
        RuntimeError: If there is none.
    """
    for first in range(20000 + os.getpid() % 8000, 60000, count):
        socks = []
        try:
            for number in range(first, first + count):
                sock = socket.socket()
                socks.append(sock)
                sock.bind(('127.0.0.1', number))
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
        return list(range(first, first + count))
    raise RuntimeError('no free ports')


class Record:
    """The record of a run: what was sent, answered and run, in order."""

    def __init__(self, path: pathlib.Path) -> None:
        """Open the file.

        Args:
            path: Its path.
        """
        self._file = path.open('w')
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time since the start.

        Args:
            text: The line.
        """
        with self._lock:
            seconds = time.monotonic() - self._began
            self._file.write(f'{seconds:8.3f} {text}\n')
            self._file.flush()


class Store:
    """The platform's store: objects by kind and name, with watches.

    It listens on several ports, one for each node, so that it can tell nodes
    apart and turn some of them away.

    Attributes:
        turned_away: The addresses whose calls get 503.
        watching_by_address: The watches that wait, by address.
    """

    def __init__(self) -> None:
        """Start the store on a free port."""
        self.objects: dict[str, dict[str, dict]] = {}
        self.history: list[tuple[int, str, dict]] = []
        self.revision = 1
        self.changed = threading.Condition()
        self.turned_away: set[str] = set()
        self.watching_by_address: collections.Counter[str] = (
            collections.Counter()
        )
        self.address = self.listen()

    def listen(self) -> str:
        """Listen on one more port.

        Returns:
            The address.
        """
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Answers the calls of nodes."""

            protocol_version = 'HTTP/1.1'
            # Heads and bodies are sent apart.
            disable_nagle_algorithm = True

            def log_message(self, *parts: object) -> None:
                """Write no log.

                Args:
                    *parts: The line.
                """

            def _answer(self) -> None:
                size = int(self.headers.get('Content-Length') or 0)
                body = json.loads(self.rfile.read(size) or b'{}')
                host, port = self.server.server_address
                status, content = store.handle(
                    self.command, self.path, body, f'{host}:{port}'
                )
                payload = json.dumps(content).encode()
                self.send_response(status)
                self.send_header('Content-Type', 'application/json')
                self.send_header('Content-Length', str(len(payload)))
                self.end_headers()
                self.wfile.write(payload)

            do_GET = do_POST = do_PUT = do_DELETE = _answer  # noqa: N815

        class Server(http.server.ThreadingHTTPServer):
            """Serves each connection by a thread."""

            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *parts: object) -> None:
                """Ignore connections that nodes break off.

                Args:
                    *parts: The connection.
                """

        server = Server(('127.0.0.1', 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return f'127.0.0.1:{server.server_address[1]}'

    def turn_away(self, *addresses: str) -> None:
        """Answer 503 to all calls at some addresses, also to waiting ones.

        Args:
            *addresses: The addresses; none to serve all again.
        """
        with self.changed:
            self.turned_away = set(addresses)
            self.changed.notify_all()

    def put(self, kind: str, name: str, spec: dict) -> None:
        """Write an object as the operator or an engine does.

        Args:
            kind: Its kind.
            name: Its name.
            spec: Its ``Spec``.
        """
        with self.changed:
            self._write(kind, name, {'Spec': spec})

    def remove(self, kind: str, name: str) -> None:
        """Remove an object.

        Args:
            kind: Its kind.
            name: Its name.
        """
        with self.changed:
            self._remove(kind, name)

    def handle(
        self, method: str, path: str, body: dict, address: str
    ) -> tuple[int, dict]:
        """Answer a call.

        Args:
            method: The HTTP method.
            path: The path and query.
            body: The decoded body.
            address: The address at which it came.

        Returns:
            The status and the body of the answer.
        """
        parts = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        rest = parts.path.removeprefix('/pimentoway/objects/').split('/')
        kind = rest[0]
        name = urllib.parse.unquote(rest[1]) if len(rest) > 1 else ''
        if method == 'GET' and 'Watch' in query:
            return self._watch(kind, query, address)
        with self.changed:
            if address in self.turned_away:
                return 503, {}
            if method == 'GET':
                return self._read(kind, name, query)
            return self._change(method, kind, name, rest[2:], body)

    def _read(self, kind: str, name: str, query: dict) -> tuple[int, dict]:
        objects = self.objects.get(kind, {})
        if name:
            return (200, objects[name]) if name in objects else (404, {})
        after = query.get('AfterRev', '')
        listed = [objects[key] for key in sorted(objects) if key > after]
        return 200, {
            'Items': listed,
            'HasMore': False,
            'StoreRevision': self.revision,
        }

    def _watch(self, kind: str, query: dict, address: str) -> tuple[int, dict]:
        after = int(query['Watch'])
        end = time.monotonic() + int(query.get('WaitMs', 0)) / 1000
        with self.changed:
            self.watching_by_address[address] += 1
            try:
                return self._await_events(kind, after, end, address)
            finally:
                self.watching_by_address[address] -= 1

    def _await_events(
        self, kind: str, after: int, end: float, address: str
    ) -> tuple[int, dict]:
        while address not in self.turned_away:
            events = [
                event
                for revision, of_kind, event in self.history
                if of_kind == kind and revision > after
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {
                    'events': events,
                    'StoreRevision': self.revision,
                }
            self.changed.wait(left)
        return 503, {}

    def _change(
        self, method: str, kind: str, name: str, below: list, body: dict
    ) -> tuple[int, dict]:
        name = name or body['Metadata']['Name']
        known = self.objects.get(kind, {}).get(name)
        expected = body.get('Metadata', {}).get('Revision')
        if method == 'POST':
            if known:
                return 409, known
            return 201, self._write(kind, name, {'Spec': body.get('Spec')})
        if not known:
            return 404, {}
        if expected and expected != known['Metadata']['Revision']:
            return 409, known
        if method == 'DELETE':
            self._remove(kind, name)
            return 200, {}
        field = 'Status' if below == ['status'] else 'Spec'
        return 200, self._write(kind, name, {field: body.get(field)})

    def _write(self, kind: str, name: str, fields: dict) -> dict:
        known = self.objects.get(kind, {}).get(name)
        held = {key: (known or {}).get(key) for key in ('Spec', 'Status')}
        if known and {**held, **fields} == held:
            return known
        self.revision += 1
        created = known['Metadata']['Created'] if known else self.revision
        written = {
            'Metadata': {
                'Name': name,
                'Revision': self.revision,
                'Created': created,
            },
            **held,
            **fields,
        }
        self.objects.setdefault(kind, {})[name] = written
        self._publish(kind, {'Object': written, 'Removed': False})
        return written

    def _remove(self, kind: str, name: str) -> None:
        known = self.objects.get(kind, {}).pop(name, None)
        if known:
            self.revision += 1
            self._publish(kind, {'Object': known, 'Removed': True})

    def _publish(self, kind: str, event: dict) -> None:
        self.history.append((self.revision, kind, event))
        self.changed.notify_all()


class Connection:
    """A connection that carries HTTP messages with a length."""

    def __init__(self, sock: socket.socket) -> None:
        """Take a connected socket.

        Args:
            sock: The socket.
        """
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self._unread = b''

    def read_message(self) -> tuple[str, dict[str, str], bytes] | None:
        """Read a request or an answer.

        Returns:
            The first line, the headers by name in lowercase, and the body;
            None if the connection ended before the message was whole.
        """
        head = self.read_head()
        if head is None:
            return None
        first, headers = head
        if 'chunked' in headers.get('transfer-encoding', ''):
            body = self._read_chunks()
        else:
            body = self.read_body(int(headers.get('content-length', 0)))
        return None if body is None else (first, headers, body)

    def read_head(self) -> tuple[str, dict[str, str]] | None:
        """Read the head of a request or an answer.

        Returns:
            The first line and the headers by name in lowercase; None if the
            connection ended before.
        """
        while b'\r\n\r\n' not in self._unread:
            if not self._receive():
                return None
        head, _, self._unread = self._unread.partition(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').split('\r\n')
        headers = {}
        for line in lines:
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
        return first, headers

    def read_body(self, size: int) -> bytes | None:
        """Read a body.

        Args:
            size: Its length.

        Returns:
            The body; None if the connection ended before.
        """
        while len(self._unread) < size:
            if not self._receive():
                return None
        body, self._unread = self._unread[:size], self._unread[size:]
        return body

    def _read_chunks(self) -> bytes | None:
        body = b''
        while True:
            while b'\r\n' not in self._unread:
                if not self._receive():
                    return None
            line, _, self._unread = self._unread.partition(b'\r\n')
            size = int(line, 16)
            while len(self._unread) < size + 2:
                if not self._receive():
                    return None
            body += self._unread[:size]
            self._unread = self._unread[size + 2 :]
            if not size:
                return body

    def _receive(self) -> bool:
        try:
            block = self.sock.recv(65536)
        except OSError:
            return False
        self._unread += block
        return bool(block)


def make_answer(
    status: int, engine: str, attempt: str, body: bytes, *headers: str
) -> bytes:
    """Encode an engine's answer.

    Args:
        status: The HTTP status.
        engine: The name of the engine, for the seal.
        attempt: The attempt id.
        body: The body.
        *headers: Further header lines.

    Returns:
        The bytes.
    """
    lines = [
        f'HTTP/1.1 {status} Status',
        f'Pimentoway-Attempt-Id: {attempt}',
        'Keep-Alive: timeout=10',
        f'Content-Length: {len(body)}',
        *headers,
    ]
    if 'Pimentoway-Not-Executed: 1' not in headers:
        lines.append(f'Pimentoway-Response-Seal: {engine}.{attempt}')
    return '\r\n'.join([*lines, '', '']).encode() + body


class Engine:
    """An engine, which registers itself and writes heartbeats.

    Attributes:
        name: Its id.
        runs: The attempt ids of the requests that it ran, with their times.
        state: The ``State`` that its heartbeats write.
        record: The record of the run.
        cut_off: The nodes whose connections are reset, as by a cut.
        window: The bytes that a connection takes before they are read; 0 for
            the default of the machine.
    """

    window = 0

    def __init__(
        self,
        name: str,
        store: Store,
        record: Record,
        zone: str = 'z1',
        service: str = 'desk',
    ) -> None:
        """Listen on a free port and write heartbeats.

        Args:
            name: Its id.
            store: The store.
            record: Where it writes what it runs.
            zone: Its zone.
            service: Its service.
        """
        self.name = name
        self.runs: list[tuple[str, float]] = []
        self.state = 'ready'
        self.record = record
        self.cut_off: list[Node] = []
        self._store = store
        self._zone = zone
        self._service = service
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._gone = threading.Event()
        self._conns: set[Connection] = set()
        self._socket = socket.create_server(('127.0.0.1', 0), backlog=128)
        if self.window:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.window
            )
        self.address = f'127.0.0.1:{self._socket.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def make_entry(self) -> dict:
        """Make its entry of kind ``servers``.

        Returns:
            The ``Spec``.
        """
        self._sequence += 1
        return {
            'Service': self._service,
            'Address': self.address,
            'Zone': self._zone,
            'Version': 'v1',
            'Slots': 6,
            'State': self.state,
            'ColdRemainingMs': 0,
            'Sequence': self._sequence,
            'born': self._born,
        }

    def answer(
        self,
        conn: Connection,
        headers: dict[str, str],
        body: bytes,
        state: dict,
    ) -> bool:
        """Answer a request; a subclass changes how.

        Args:
            conn: The connection.
            headers: The headers of the request.
            body: The body of the request.
            state: What is kept for the connection.

        Returns:
            Whether the connection carries another request.
        """
        self.run(conn, headers[ATTEMPT])
        return True

    def run(
        self, conn: Connection, attempt: str, seconds: float = 0.02
    ) -> None:
        """Run a request and answer it.

        Args:
            conn: The connection.
            attempt: The attempt id.
            seconds: How long it takes.
        """
        self.runs.append((attempt, time.monotonic()))
        self.record.write(f'{self.name} runs {attempt}')
        time.sleep(seconds)
        conn.sock.sendall(make_answer(200, self.name, attempt, b'done'))
        self.record.write(f'{self.name} answers {attempt}: 200')

    def leave(self) -> None:
        """Stop at once: no entry, no connections."""
        self._gone.set()
        self._store.remove('servers', self.name)
        self._socket.close()
        for conn in tuple(self._conns):
            with contextlib.suppress(OSError):
                conn.sock.shutdown(socket.SHUT_RDWR)

    def _beat(self) -> None:
        while not self._gone.is_set():
            self._store.put('servers', self.name, self.make_entry())
            self._gone.wait(1.2)

    def _accept(self) -> None:
        while True:
            try:
                sock, peer = self._socket.accept()
            except OSError:
                return
            if any(node.owns(peer[1]) for node in self.cut_off):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
                )
                sock.close()
                continue
            conn = Connection(sock)
            self._conns.add(conn)
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, conn: Connection) -> None:
        state: dict = {}
        with contextlib.suppress(OSError), conn.sock:
            while True:
                request = conn.read_message()
                if request is None:
                    return
                first, headers, body = request
                if ' /pimentoway/report ' in first or ATTEMPT not in headers:
                    conn.sock.sendall(
                        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
                    )
                    continue
                expected = headers.get('pimentoway-expect-instance', self.name)
                if expected != self.name:
                    conn.sock.sendall(
                        make_answer(
                            421,
                            self.name,
                            headers[ATTEMPT],
                            b'',
                            'Pimentoway-Not-Executed: 1',
                        )
                    )
                    continue
                if not self.answer(conn, headers, body, state):
                    return


class LateReader(Engine):
    """An engine that answers before it has read a long body.

    It reads the rest of the body only after its answer, unless ``is_prompt``.

    Attributes:
        is_prompt: Whether it reads a body before it answers.
        framing: How the end of its answer is marked: ``chunked``, or ``close``
            for an answer without a length that ends with its channel.
        pieces: The pieces of its answer.
        pause: The seconds after each piece.
    """

    is_prompt = False
    window = 16_384
    framing = 'chunked'
    pieces: tuple[bytes, ...] = ()
    pause = 0.2

    def _serve(self, conn: Connection) -> None:
        with contextlib.suppress(OSError), conn.sock:
            while True:
                head = conn.read_head()
                if head is None:
                    return
                first, headers = head
                size = int(headers.get('content-length', 0))
                if ATTEMPT not in headers:
                    conn.sock.sendall(
                        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
                    )
                elif ' /streaming/' in first:
                    self._stream(conn, headers[ATTEMPT], size)
                    if self.framing == 'close':
                        return
                elif conn.read_body(size) is not None:
                    self.run(conn, headers[ATTEMPT])

    def _stream(self, conn: Connection, attempt: str, size: int) -> None:
        if self.is_prompt:
            conn.read_body(size)
        self.runs.append((attempt, time.monotonic()))
        unread = 0 if self.is_prompt else size
        self.record.write(
            f'{self.name} runs {attempt}, has {unread} of {size} bytes to read'
        )
        sent = 0
        try:
            for block in self._encode(attempt):
                conn.sock.sendall(block)
                sent += 1
                time.sleep(self.pause)
            if not self.is_prompt:
                conn.read_body(size)
        except OSError as fault:
            self.record.write(
                f'{self.name}: the channel of {attempt} broke after '
                f'{sent} of {len(self.pieces)} pieces: {fault}'
            )
            raise
        self.record.write(f'{self.name} has sent all of {attempt}')

    def _encode(self, attempt: str) -> collections.abc.Iterator[bytes]:
        chunked = self.framing == 'chunked'
        head = (
            'HTTP/1.1 200 OK\r\n'
            f'Pimentoway-Attempt-Id: {attempt}\r\n'
            f'Pimentoway-Response-Seal: {self.name}.{attempt}\r\n'
            'Content-Type: text/event-stream\r\n'
        )
        if chunked:
            head += 'Transfer-Encoding: chunked\r\n'
        blocks = list(self.pieces)
        if chunked:
            blocks = [b'%x\r\n%s\r\n' % (len(one), one) for one in blocks]
            blocks[-1] += b'0\r\n\r\n'
        yield head.encode() + b'\r\n' + blocks[0]
        yield from blocks[1:]


class Node:
    """An entry process, started by the command of the deploy file.

    Attributes:
        name: Its name.
        store: The address at which it calls the store.
        front: The address for callers.
        ready: The address for readiness checks.
        process: The process.
    """

    def __init__(
        self,
        name: str,
        store: str,
        ports: list[int],
        seeds: list[str],
        folder: pathlib.Path,
        zone: str = 'z1',
        cores: int = 2,
    ) -> None:
        """Write the settings and start the process.

        Args:
            name: Its name.
            store: The address of the store.
            ports: Eight free ports.
            seeds: The ``Control`` addresses of the seeds.
            folder: Where the settings and logs are written.
            zone: Its zone.
            cores: Its cores.
        """
        self.name = name
        self.store = store
        self.front = ('127.0.0.1', ports[0])
        self.ready = ('127.0.0.1', ports[1])
        settings = folder / f'{name}.toml'
        settings.write_text(
            f"""
NodeName = "{name}"
Role = "entry"
MachineClass = "edge"
Serves = ["edge", "control_plane"]
Ip = "127.0.0.1"
Zone = "{zone}"
Region = "r"
InternalPorts = [{ports[3]}, {ports[7]}]
Seeds = {json.dumps(seeds)}
Bootstrap = true
HeartbeatMs = 1200
[Zones]
z1 = "r"
z2 = "r"
z3 = "r"
[Listen]
Front = "127.0.0.1:{ports[0]}"
Ready = "127.0.0.1:{ports[1]}"
Control = "127.0.0.1:{ports[2]}"
[Limits]
CpuShare = 0.537
Cores = {cores}
MemoryMb = 150
MaxFds = 4100
[Bounds]
ContactMs = 3000
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 52
QuotaWindowS = 8
QuotaOvershoot = 0.1
QuotaSlack = 110000
[Platform]
Address = "{store}"
form = "objects"
"""
        )
        self._settings = settings
        self._folder = folder
        self.process: subprocess.Popen | None = None
        self.start()

    def start(self) -> None:
        """Start the process."""
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'pimentoway', 'edge'],
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': 'target/deps',
                    'PIMENTOWAY_BOOT': str(self._settings),
                },
                stdout=log,
                stderr=log,
            )

    def is_ready(self) -> bool:
        """Ask as the platform does whether it takes callers.

        Returns:
            Whether it answers 200.
        """
        try:
            with socket.create_connection(self.ready, 0.5) as sock:
                sock.sendall(
                    b'GET /pimentoway/readyz HTTP/1.1\r\nHost: n\r\n'
                    b'Connection: close\r\n\r\n'
                )
                return b' 200 ' in sock.recv(200)
        except OSError:
            return False

    def owns(self, port: int) -> bool:
        """Tell whether a connection from a port is one of this process.

        Args:
            port: The port on this machine.

        Returns:
            Whether it is.
        """
        lines = pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]
        inodes = {
            line.split()[9]
            for line in lines
            if line.split()[1].endswith(f':{port:04X}')
        }
        folder = f'/proc/{self.process.pid}/fd'
        links = set()
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                links.add(os.readlink(f'{folder}/{name}'))
        return any(f'socket:[{inode}]' in links for inode in inodes)

    def end(self) -> None:
        """End the process."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def make_configuration(version: int = 5, **limits: int) -> dict:
    """Make the configuration: an unsafe, a safe and a streaming route.

    Args:
        version: Its version.
        **limits: Fields of its ``Limits``.

    Returns:
        The ``Spec`` of ``config/main``.
    """
    return {
        'Version': version,
        'Routes': [
            {
                'Name': kind,
                'Host': HOST,
                'PathPrefix': f'/{kind}/',
                'RouteKind': kind,
                'Service': 'desk',
                'TimeoutMs': 3000,
                'GoalMs': 400,
                'GapTargetMs': 300 if kind == 'streaming' else 0,
                'MaxAttempts': 2 if kind == 'safe' else 1,
                'Priority': 2,
            }
            for kind in ('unsafe', 'safe', 'streaming')
        ],
        'Services': [{'Name': 'desk', 'MaxConnections': 110, 'ColdPerS': 0}],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 65536,
            'HeaderTimeoutMs': 5000,
            'IdleTimeoutMs': 10000,
            **limits,
        },
        'Tenants': [{'Name': 'studio', 'ApiKeys': [KEY]}],
    }


def make_request(
    attempt: str,
    kind: str,
    body: bytes = b'one',
    deadline_ms: int = 3000,
    key: str = KEY,
    parts: str = '',
) -> bytes:
    """Encode a caller's request.

    Args:
        attempt: The attempt id.
        kind: The route, by its kind.
        body: The body.
        deadline_ms: How long the caller waits.
        key: The API key.
        parts: The parts of the prompt; '' for none.

    Returns:
        The bytes.
    """
    prefix = f'Pimentoway-Prefix-Hash: {parts}\r\n' if parts else ''
    head = (
        f'POST /{kind}/x HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Pimentoway-Attempt-Id: {attempt}\r\n'
        f'Pimentoway-Deadline-Ms: {deadline_ms}\r\nX-Api-Key: {key}\r\n'
        f'{prefix}Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def call(
    front: tuple[str, int],
    attempt: str,
    kind: str,
    record: Record,
    body: bytes = b'one',
    key: str = KEY,
) -> int:
    """Send a request on a new channel and read the answer.

    Args:
        front: The address of the node.
        attempt: The attempt id.
        kind: The route, by its kind.
        record: Where it is written down.
        body: The body.
        key: The API key.

    Returns:
        The status; 0 if the channel ended without a whole answer.
    """
    record.write(f'client sends {attempt} ({kind})')
    status = 0
    with (
        contextlib.suppress(OSError),
        socket.create_connection(front, 1) as sock,
    ):
        sock.settimeout(3.5)
        sock.sendall(make_request(attempt, kind, body, key=key))
        answer = Connection(sock).read_message()
        if answer:
            status = int(answer[0].split()[1])
    record.write(f'client gets {attempt}: {status or "no whole answer"}')
    return status


def _end_case(number: int, frame: object) -> None:
    raise SystemExit(CANNOT_RUN)


class Site:
    """A small deployment: a store and nodes; engines are added by the case.

    Attributes:
        store: The store.
        record: The record of the run.
        nodes: The nodes.
        folder: The temporary folder, which ``close`` removes.
    """

    def __init__(self, case: pathlib.Path) -> None:
        """Start the store.

        Args:
            case: The folder of the case.
        """
        # So that `timeout` lets the case end its processes.
        signal.signal(signal.SIGTERM, _end_case)
        self.record = Record(case / 'record.txt')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.store.put('config', 'main', make_configuration())
        self.nodes: list[Node] = []

    def start_nodes(self, *zones: str) -> None:
        """Start nodes and wait until they are ready.

        Args:
            *zones: The zone of each.

        Raises:
            RuntimeError: If one is not ready in time.
        """
        ports = find_ports(8 * len(zones))
        groups = [ports[8 * n : 8 * n + 8] for n in range(len(zones))]
        seeds = [f'127.0.0.1:{group[2]}' for group in groups[:3]]
        for number, (zone, group) in enumerate(zip(zones, groups, strict=True)):
            self.nodes.append(
                Node(
                    f'edge-{number}',
                    self.store.listen(),
                    group,
                    seeds,
                    self.folder,
                    zone,
                )
            )
        end = time.monotonic() + 20
        while not all(node.is_ready() for node in self.nodes):
            if time.monotonic() > end:
                raise RuntimeError('the nodes are not ready')
            time.sleep(0.1)
        time.sleep(2)
        self.record.write('nodes are ready')

    def close(self) -> None:
        """End all nodes; keep their logs if KEEP is set."""
        for node in self.nodes:
            node.end()
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
