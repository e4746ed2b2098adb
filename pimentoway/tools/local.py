"""A local deployment: entry processes and stand-ins as child processes.

The demo, the benchmarks and the tests with real processes use it. The system
itself starts no processes.
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

#: The IP address on which every process listens.
HOST = '127.0.0.1'

#: The operators' token of a local deployment.
TOKEN = 'operators-token'

#: The API key of the caller in the highest tier.
URGENT_KEY = 'key-counter'

#: The API key of the caller in the lowest tier.
BATCH_KEY = 'key-archive'

#: The number of ports reserved for each process.
PORTS_PER_PROCESS = 10

#: Seconds within which a process must answer after its start.
START_SECONDS = 60

#: Seconds within which a process must exit; `stop` kills it then.
STOP_SECONDS = 15

_OK = 200
_POLL_SECONDS = 0.1


@dataclasses.dataclass(frozen=True)
class Layout:
    """The processes and declarations of a local deployment.

    Attributes:
        zones: The names of the failure domains.
        entries: The number of entry processes in each failure domain.
        engine_traits: The traits of each engine in a failure domain, as
            ``name=value`` arguments of the stand-in.
        applications: The number of applications in each failure domain.
        base_port: The first port of the first process.
        notice: The notice period of a graceful shutdown, with its unit.
        more_engines: The number of further engines that are only declared;
            they have the addresses of running ones.
        more_customers: The number of further customers that are declared.
        pimentoway: The command that runs the system's program.
        standin: The command that runs the stand-ins' program.
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

    def count_ports(self) -> int:
        """Count the ports reserved for all processes, from `base_port` on.

        Returns:
            The number of ports.
        """
        per_zone = self.entries + len(self.engine_traits) + self.applications
        return PORTS_PER_PROCESS * (1 + len(self.zones) * per_zone)


@dataclasses.dataclass(frozen=True)
class ProcessSpec:
    """The name and the ports of a process of the deployment.

    Attributes:
        name: The name of the process.
        zone: The name of its failure domain; '' for the platform.
        port: The first of its ports.
    """

    name: str
    zone: str
    port: int

    @property
    def address(self) -> str:
        """The main address: for callers, or the only one of a stand-in.

        Returns:
            The IP address and port.
        """
        return f'{HOST}:{self.port}'

    @property
    def operators_address(self) -> str:
        """The address of an entry process for operators.

        Returns:
            The IP address and port.
        """
        return f'{HOST}:{self.port + 1}'


class Deployment:
    """A deployment of child processes on this machine.

    Attributes:
        layout: The processes and declarations.
        folder: The folder for settings, declarations and logs.
        platform: The stand-in for the platform.
        entries: The entry processes.
        engines: The stand-ins for engines.
        applications: The stand-ins for applications.
        process_by_name: The child processes that were started.
    """

    def __init__(self, layout: Layout, folder: pathlib.Path) -> None:
        """Assign names and ports; ``start`` starts the processes.

        Args:
            layout: The processes and declarations.
            folder: The folder for settings, declarations and logs, which
                ``start`` creates if it is missing.
        """
        self.layout = layout
        self.folder = folder
        self.process_by_name: dict[str, subprocess.Popen] = {}
        ports = itertools.count(layout.base_port, PORTS_PER_PROCESS)
        self.platform = ProcessSpec('platform', '', next(ports))
        self.entries = [
            ProcessSpec(f'entry-{zone}-{number}', zone, next(ports))
            for zone in layout.zones
            for number in range(layout.entries)
        ]
        self.engines = [
            ProcessSpec(f'engine-{zone}-{number}', zone, next(ports))
            for zone in layout.zones
            for number in range(len(layout.engine_traits))
        ]
        self.applications = [
            ProcessSpec(f'application-{zone}-{number}', zone, next(ports))
            for zone in layout.zones
            for number in range(layout.applications)
        ]

    def start(self) -> None:
        """Start all processes and return when every entry process is ready."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._start_standins()
        self.wait_for(self.platform.address, '/objects/configuration')
        self.apply(self.write_declarations())
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            self.wait_for(entry.operators_address, '/readyz')

    def start_entry(self, entry: ProcessSpec) -> None:
        """Write the settings of an entry process and start it.

        Args:
            entry: The process.
        """
        path = self.folder / f'{entry.name}.ini'
        path.write_text(self._format_settings(entry))
        self._spawn(entry.name, [*self.layout.pimentoway, 'entry', str(path)])

    def apply(self, path: pathlib.Path) -> None:
        """Apply declarations with the command line of the system.

        Args:
            path: The INI file of the declarations.
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
        """Write the declarations of the deployment to its folder.

        Returns:
            The path of the INI file.
        """
        path = self.folder / 'declarations.ini'
        path.write_text(self.format_declarations())
        return path

    def format_declarations(self) -> str:
        """Format the declarations of the deployment and check them.

        Returns:
            The text of the INI file.
        """
        digest = index.digest_key
        sections = [
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
        sections += [f'[zone {zone}]' for zone in self.layout.zones]
        sections += [
            _format_backend('engine', engine) for engine in self.engines
        ]
        sections += [
            _format_backend('application', application)
            for application in self.applications
        ]
        sections += self._format_extra_sections()
        text = '\n\n'.join([*sections, ''])
        declaration.read_declarations('declarations.ini', text)
        return text

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process of the deployment.

        Args:
            name: The name of the process.
            number: The number of the signal.
        """
        self.process_by_name[name].send_signal(number)

    def wait_exit(self, name: str) -> int:
        """Wait until a process has ended, at most ``STOP_SECONDS``.

        Args:
            name: The name of the process.

        Returns:
            Its exit status.
        """
        return self.process_by_name.pop(name).wait(STOP_SECONDS)

    def stop(self) -> None:
        """Terminate every process, and kill those that don't exit in time."""
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
        """Wait until a process answers a GET request with status 200.

        Args:
            address: Its IP address and port.
            path: The path of the request.

        Raises:
            PimentowayError: If it doesn't within ``START_SECONDS``.
        """
        end = clock.read_monotonic() + START_SECONDS
        while clock.read_monotonic() < end:
            with contextlib.suppress(error.PimentowayError):
                if fetch(address, 'GET', path).status == _OK:
                    return
            gevent.sleep(_POLL_SECONDS)
        raise error.PimentowayError('does not answer', 'start', address)

    def _format_extra_sections(self) -> list[str]:
        sections = []
        for number in range(self.layout.more_engines):
            running = self.engines[number % len(self.engines)]
            declared = dataclasses.replace(
                running, name=f'engine-more-{number}'
            )
            sections.append(_format_backend('engine', declared))
        for position in range(self.layout.more_customers):
            name = f'customer-{position}'
            sections.append(f'[customer {name}]')
            sections.append(
                f'[caller caller-{position}]\ncustomer = {name}\n'
                f'tier = batch\nkey = key-{position}',
            )
        return sections

    def _start_standins(self) -> None:
        program = self.layout.standin
        self._spawn('platform', [*program, 'platform', self.platform.address])
        for number, engine in enumerate(self.engines):
            choices = self.layout.engine_traits
            traits = choices[number % len(choices)]
            self._spawn(
                engine.name, [*program, 'engine', engine.address, *traits]
            )
        for application in self.applications:
            self._spawn(
                application.name,
                [*program, 'application', application.address],
            )
        for backend in self.engines + self.applications:
            self.wait_for(backend.address, '/report')

    def _spawn(self, name: str, arguments: list[str]) -> None:
        with open(self.folder / f'{name}.log', 'ab') as output:
            self.process_by_name[name] = subprocess.Popen(
                arguments,
                stdout=output,
                stderr=output,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )

    def _format_settings(self, entry: ProcessSpec) -> str:
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
    """Send a request to a process of the deployment.

    Args:
        address: The IP address and port.
        method: The HTTP method.
        path: The path.
        body: The body of the request.
        headers: The names and values of further headers.

    Returns:
        The complete response, whatever its status.
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
    """Make the header that authorizes a caller.

    Args:
        key: The API key of the caller, or a token.

    Returns:
        The header, in a tuple of names and values.
    """
    return (('Authorization', f'Bearer {key}'),)


def _format_backend(kind: str, backend: ProcessSpec) -> str:
    pool = 'text' if kind == 'engine' else 'tags'
    return (
        f'[{kind} {backend.name}]\naddress = {backend.address}\n'
        f'zone = {backend.zone}\npool = {pool}\nversion = v1\n'
        'cold_slots = 2\ncold_seconds = 2s'
    )
