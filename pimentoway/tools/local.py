"""A deployment on one machine: stand-ins and entry processes.

The demo, the benchmarks and the tests with real processes use it. Nothing of
the system starts a process; this script does, from outside.
"""

import contextlib
import dataclasses
import itertools
import os
import pathlib
import signal
import subprocess
import sys

import gevent

from pimentoway.core import clock, connection, error, index
from pimentoway.parser import declaration

#: The IP number of every process.
HOST = '127.0.0.1'

#: The operators' token of a local deployment.
TOKEN = 'operators-token'

#: The key of the caller of the highest tier.
URGENT_KEY = 'key-counter'

#: The key of the caller of the lowest tier.
BATCH_KEY = 'key-archive'

#: The ports set aside for each process.
PORTS_A_PROCESS = 10

#: Seconds until every process answers.
START_SECONDS = 60

#: Seconds in which a process has to end.
STOP_SECONDS = 15

_OK = 200
_STEP_SECONDS = 0.1


@dataclasses.dataclass(frozen=True)
class Layout:
    """What a local deployment consists of.

    Attributes:
        zones: The failure domains.
        entries: The entry processes in each.
        engine_traits: The traits of the engines in each.
        applications: The applications in each.
        base_port: The first port.
        notice: The notice period of a graceful shutdown.
        more_engines: Further engines that are declared; they share the
            addresses of those that run.
        more_customers: Further customers that are declared.
        pimentoway: The words that start the system's program.
        standin: The words that start the stand-ins' program.
    """

    zones: tuple[str, ...] = ('norte', 'sur')
    entries: int = 2
    engine_traits: tuple[tuple[str, ...], ...] = (
        ('gap=0.01', 'slots=16'),
        ('gap=0.03', 'slots=8'),
    )
    applications: int = 1
    base_port: int = 21_000
    notice: str = '200ms'
    more_engines: int = 0
    more_customers: int = 0
    pimentoway: tuple[str, ...] = (
        sys.executable,
        '-c',
        'import sys; from pimentoway.tools import launch; '
        'sys.exit(launch.main())',
    )
    standin: tuple[str, ...] = (
        sys.executable,
        '-c',
        'import sys; from pimentoway.tools import launch; '
        'sys.exit(launch.main_standin())',
    )


@dataclasses.dataclass(frozen=True)
class Place:
    """A process of the deployment.

    Attributes:
        name: Its name.
        zone: Its failure domain.
        port: Its first port.
    """

    name: str
    zone: str
    port: int

    @property
    def address(self) -> str:
        """Name the address for callers.

        Returns:
            The IP number and port.
        """
        return f'{HOST}:{self.port}'

    @property
    def operators(self) -> str:
        """Name the address for operators of an entry process.

        Returns:
            The IP number and port.
        """
        return f'{HOST}:{self.port + 1}'


class Deployment:
    """A deployment on this machine.

    Attributes:
        layout: What it consists of.
        folder: Where settings and logs are written.
        platform: The platform.
        entries: The entry processes.
        engines: The engines.
        applications: The applications.
        process_by_name: The running processes.
    """

    def __init__(self, layout: Layout, folder: pathlib.Path) -> None:
        """Plan the deployment.

        Args:
            layout: What it consists of.
            folder: Where settings and logs are written.
        """
        self.layout = layout
        self.folder = folder
        self.process_by_name: dict[str, subprocess.Popen] = {}
        ports = itertools.count(layout.base_port, PORTS_A_PROCESS)
        self.platform = Place('platform', '', next(ports))
        self.entries = [
            Place(f'entry-{zone}-{number}', zone, next(ports))
            for zone in layout.zones
            for number in range(layout.entries)
        ]
        self.engines = [
            Place(f'engine-{zone}-{number}', zone, next(ports))
            for zone in layout.zones
            for number in range(len(layout.engine_traits))
        ]
        self.applications = [
            Place(f'application-{zone}-{number}', zone, next(ports))
            for zone in layout.zones
            for number in range(layout.applications)
        ]

    def start(self) -> None:
        """Start every process, apply the declarations and wait."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._start_standins()
        self.wait_for(self.platform.address, '/objects/configuration')
        self.apply(self.write_declarations())
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            self.wait_for(entry.operators, '/readyz')

    def start_entry(self, entry: Place) -> None:
        """Start an entry process.

        Args:
            entry: The process.
        """
        path = self.folder / f'{entry.name}.ini'
        path.write_text(self._format_settings(entry))
        self._spawn(entry.name, [*self.layout.pimentoway, 'entry', str(path)])

    def apply(self, path: pathlib.Path) -> None:
        """Apply declarations by the command line.

        Args:
            path: The file.
        """
        subprocess.run(
            [
                *self.layout.pimentoway,
                'apply',
                str(path),
                '--platform',
                self.platform.address,
                '--author',
                'demo',
            ],
            check=True,
            stdout=subprocess.DEVNULL,
        )

    def write_declarations(self) -> pathlib.Path:
        """Write the declarations of the deployment.

        Returns:
            The file.
        """
        path = self.folder / 'declarations.ini'
        path.write_text(self.format_declarations())
        return path

    def format_declarations(self) -> str:
        """Format the declarations of the deployment.

        Returns:
            The text of the INI file.
        """
        digest = index.digest_key
        parts = [
            '[tier urgent]\nrank = 0',
            '[tier batch]\nrank = 1',
            '[customer quetzal]\nweight = 2',
            '[customer albumar]',
            '[caller counter]\ncustomer = quetzal\ntier = urgent\n'
            f'key = sha256:{digest(URGENT_KEY)}',
            '[caller archive]\ncustomer = albumar\ntier = batch\n'
            f'key = sha256:{digest(BATCH_KEY)}',
            '[service captions]\npool = text\ndeadline = 30s',
            '[service releases]\npool = tags\nrepeatable = no\ndeadline = 10s',
            '[version text/v1]\nshare = 1',
            '[version tags/v1]\nshare = 1',
        ]
        parts += [f'[zone {zone}]' for zone in self.layout.zones]
        parts += [_format_backend('engine', one) for one in self.engines]
        parts += [
            _format_backend('application', one) for one in self.applications
        ]
        parts += self._format_more()
        text = '\n\n'.join([*parts, ''])
        declaration.read_declarations('declarations.ini', text)
        return text

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process of the deployment.

        Args:
            name: The name of the process.
            number: The signal.
        """
        self.process_by_name[name].send_signal(number)

    def wait_exit(self, name: str) -> int:
        """Wait until a process has ended.

        Args:
            name: The name of the process.

        Returns:
            Its exit status.
        """
        return self.process_by_name.pop(name).wait(STOP_SECONDS)

    def stop(self) -> None:
        """End every process that is still running."""
        for process in self.process_by_name.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self.process_by_name.values():
            try:
                process.wait(STOP_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait(STOP_SECONDS)
        self.process_by_name.clear()

    def wait_for(self, address: str, path: str) -> None:
        """Wait until an address answers.

        Args:
            address: The address.
            path: The path to ask for.

        Raises:
            PimentowayError: If it does not answer in time.
        """
        end = clock.read_monotonic() + START_SECONDS
        while clock.read_monotonic() < end:
            with contextlib.suppress(error.PimentowayError):
                if fetch(address, 'GET', path).status == _OK:
                    return
            gevent.sleep(_STEP_SECONDS)
        raise error.PimentowayError('does not answer', 'start', address)

    def _format_more(self) -> list[str]:
        parts = []
        for number in range(self.layout.more_engines):
            like = self.engines[number % len(self.engines)]
            more = dataclasses.replace(like, name=f'engine-more-{number}')
            parts.append(_format_backend('engine', more))
        for position in range(self.layout.more_customers):
            name = f'customer-{position}'
            parts.append(f'[customer {name}]')
            parts.append(
                f'[caller caller-{position}]\ncustomer = {name}\n'
                f'tier = batch\nkey = key-{position}',
            )
        return parts

    def _start_standins(self) -> None:
        program = self.layout.standin
        self._spawn('platform', [*program, 'platform', self.platform.address])
        for number, one in enumerate(self.engines):
            kinds = self.layout.engine_traits
            traits = kinds[number % len(kinds)]
            self._spawn(one.name, [*program, 'engine', one.address, *traits])
        for one in self.applications:
            self._spawn(one.name, [*program, 'application', one.address])
        for one in self.engines + self.applications:
            self.wait_for(one.address, '/report')

    def _spawn(self, name: str, words: list[str]) -> None:
        with open(self.folder / f'{name}.log', 'ab') as output:
            self.process_by_name[name] = subprocess.Popen(
                words,
                stdout=output,
                stderr=output,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )

    def _format_settings(self, entry: Place) -> str:
        peers = ', '.join(
            f'{HOST}:{other.port + 2}'
            for other in self.entries[:4]
            if other.name != entry.name
        )
        return (
            f'[node]\nname = {entry.name}\nzone = {entry.zone}\n'
            f'host = {HOST}\nnotice = {self.layout.notice}\n\n'
            f'[callers]\nport = {entry.port}\n\n'
            f'[operators]\nport = {entry.port + 1}\n'
            f'token_sha256 = {index.digest_key(TOKEN)}\n\n'
            f'[nodes]\ngossip_port = {entry.port + 2}\n'
            f'call_port = {entry.port + 3}\npeers = {peers}\n\n'
            f'[platform]\naddress = {self.platform.address}\n'
        )


def fetch(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    headers: tuple[tuple[str, str], ...] = (),
) -> connection.Answer:
    """Make a call to a process of the deployment.

    Args:
        address: The address.
        method: The HTTP method.
        path: The path.
        body: The body.
        headers: Further headers.

    Returns:
        The answer.
    """
    call = connection.Call(
        address=address,
        method=method,
        path=path,
        body=body,
        headers=headers,
    )
    return connection.Pool().fetch(call)


def authorize(key: str) -> tuple[tuple[str, str], ...]:
    """Make the headers that carry a key.

    Args:
        key: The key.

    Returns:
        The headers.
    """
    return (('Authorization', f'Bearer {key}'),)


def _format_backend(kind: str, place: Place) -> str:
    pool = 'text' if kind == 'engine' else 'tags'
    return (
        f'[{kind} {place.name}]\naddress = {place.address}\n'
        f'zone = {place.zone}\npool = {pool}\nversion = v1\n'
        'cold_slots = 2\ncold_seconds = 2s'
    )
