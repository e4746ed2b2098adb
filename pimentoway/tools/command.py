"""The command line of the system.

Exit statuses: 0 success; 1 the operation failed or was refused; 2 settings,
declarations or arguments are wrong; 3 the outcome is unknown; 4 a rollout is
under way.
"""

import dataclasses
import getpass
import pathlib
import uuid
from importlib import metadata

import gevent
import msgspec
from cleo import application, helpers
from cleo.commands import command

from pimentoway.core import (
    clock,
    codec,
    configuration,
    connection,
    error,
    index,
)
from pimentoway.objects import client, head
from pimentoway.ops import rollout
from pimentoway.parser import declaration, ini, setting
from pimentoway.tools import controller, entry, history

#: The version of the program.
VERSION = metadata.version('pimentoway')

_FAILED = 1
_WRONG = 2
_UNKNOWN = 3
_UNDER_WAY = 4
_LOOK_SECONDS = 1
_RATE = 50
_FIRST_ERROR = 400
_JSON = helpers.option('json', None, 'Prints JSON for scripts.', flag=True)
_PLATFORM = helpers.option(
    'platform',
    None,
    'The address of the platform.',
    flag=False,
)
_NODE = helpers.option(
    'node',
    None,
    "The operators' address of any node.",
    flag=False,
)


class CheckedCommand(command.Command):
    """A command whose errors become messages and exit statuses."""

    def handle(self) -> int:
        """Run the command.

        Returns:
            The exit status.
        """
        try:
            return self.work()
        except (error.SettingError, OSError, ValueError) as fault:
            self.line_error(str(fault))
            return _WRONG
        except (
            error.PlatformAmbiguousError,
            error.ConnectionLostError,
        ) as fault:
            self.line_error(f'unknown: {fault}')
            return _UNKNOWN
        except error.PimentowayError as fault:
            self.line_error(f'refused: {fault}')
            return _FAILED

    def work(self) -> int:
        """Do what the command is for.

        Raises:
            NotImplementedError: If a command lacks it.
        """
        raise NotImplementedError

    def require(self, name: str) -> str:
        """Read an option that must be given.

        Args:
            name: The name of the option.

        Returns:
            Its text.

        Raises:
            ValueError: If it is missing.
        """
        text = self.option(name)
        if not text:
            raise ValueError(f'--{name} is missing')
        return text


class EntryCommand(CheckedCommand):
    """Runs an entry process."""

    name = 'entry'
    description = 'Runs an entry process until SIGTERM or SIGINT.'
    arguments = [helpers.argument('settings', 'The settings, an INI file.')]

    def work(self) -> int:
        """Serve.

        Returns:
            The exit status.
        """
        return entry.serve(_read_settings(self.argument('settings')))


class CheckCommand(CheckedCommand):
    """Checks settings or declarations."""

    name = 'check'
    description = 'Checks settings or declarations without starting.'
    arguments = [
        helpers.argument('kind', 'settings or declarations.'),
        helpers.argument('file', 'The INI file.'),
    ]

    def work(self) -> int:
        """Check a file.

        Returns:
            The exit status.

        Raises:
            ValueError: If the kind of file is unknown.
        """
        readers = {'settings': _read_settings, 'declarations': _read_tables}
        kind = self.argument('kind')
        if kind not in readers:
            raise ValueError(f'{kind!r} is neither settings nor declarations')
        readers[kind](self.argument('file'))
        self.line('no faults')
        return 0


class ApplyCommand(CheckedCommand):
    """Applies declarations."""

    name = 'apply'
    description = 'Makes the declarations of a file the configuration.'
    arguments = [helpers.argument('file', 'The declarations, an INI file.')]
    options = [
        _PLATFORM,
        helpers.option('id', None, 'Asks again for a change.', flag=False),
        helpers.option('author', None, 'Who makes the change.', flag=False),
        helpers.option('dry-run', None, 'Prints the changes only.', flag=True),
        _JSON,
    ]

    def work(self) -> int:
        """Apply the declarations.

        Returns:
            The exit status.
        """
        object_store = client.HttpStore(self.require('platform'), _RATE)
        tables = _read_tables(self.argument('file'))
        current = head.read_configuration(object_store)
        puts, removals = configuration.compare_tables(current.tables, tables)
        change = configuration.Change(
            current.version + 1,
            self.option('id') or uuid.uuid4().hex,
            self.option('author') or getpass.getuser(),
            puts,
            removals,
        )
        if self.option('dry-run') or (puts, removals) == (
            configuration.Tables(),
            (),
        ):
            self._print(change, current.version)
            return 0
        accepted = head.accept_change(object_store, change)
        self._print(accepted, accepted.version)
        return 0

    def _print(self, change: configuration.Change, version: int) -> None:
        if self.option('json'):
            self.line(codec.encode_json(change).decode())
            return
        for line in describe_change(change):
            self.line(line)
        self.line(f'version {version}, change {change.change_id}')


class ShowCommand(CheckedCommand):
    """Shows the records of the configuration in force."""

    name = 'show'
    description = (
        'Shows tiers, customers, callers, zones, services, versions, '
        'engines, applications or rollouts.'
    )
    arguments = [helpers.argument('table', 'What to show.')]
    options = [_PLATFORM, _JSON]

    def work(self) -> int:
        """Show the records.

        Returns:
            The exit status.

        Raises:
            ValueError: If there are no such records.
        """
        table = self.argument('table')
        if table not in configuration.TABLE_NAMES:
            known = ', '.join(configuration.TABLE_NAMES)
            raise ValueError(f'{table!r} is none of {known}')
        object_store = client.HttpStore(self.require('platform'), _RATE)
        current = head.read_configuration(object_store)
        records = getattr(current.tables, table)
        if self.option('json'):
            self.line(codec.encode_json(records).decode())
            return 0
        for record in records:
            fields = dataclasses.asdict(record).items()
            self.line(' '.join(f'{name}={text}' for name, text in fields))
        return 0


class StatusCommand(CheckedCommand):
    """Shows the status of a node."""

    name = 'status'
    description = 'Shows what a node knows of itself and the others.'
    options = [_NODE, _JSON]

    def work(self) -> int:
        """Show the status.

        Returns:
            The exit status.
        """
        body = _fetch(self.require('node'), 'GET', '/status')
        if self.option('json'):
            self.line(body.decode())
            return 0
        for name, text in codec.decode_json(body, dict).items():
            self.line(f'{name}: {_format(text)}')
        return 0


class TraceCommand(CheckedCommand):
    """Shows the hops of one request."""

    name = 'trace'
    description = 'Shows the hops of one request at the node that took it.'
    arguments = [helpers.argument('request', 'The identifier of the request.')]
    options = [_NODE, _JSON]

    def work(self) -> int:
        """Show the hops.

        Returns:
            The exit status.
        """
        path = f'/traces/{self.argument("request")}'
        body = _fetch(self.require('node'), 'GET', path)
        if self.option('json'):
            self.line(body.decode())
            return 0
        hops = codec.decode_json(body, list[Hop])
        for hop in sorted(hops, key=_read_start):
            named = ' '.join(str(text) for text in hop.attributes.values())
            self.line(f'{hop.hop:8} {hop.seconds:9.4f}s {hop.status} {named}')
        return 0 if hops else _FAILED


class HistoryCommand(CheckedCommand):
    """Shows what the logs of many nodes say of one request."""

    name = 'history'
    description = 'Shows what log files say of one request.'
    arguments = [
        helpers.argument('request', 'The identifier of the request.'),
        helpers.argument('files', 'The log files.', multiple=True),
    ]

    def work(self) -> int:
        """Show the history.

        Returns:
            The exit status.
        """
        steps = []
        for name in self.argument('files'):
            text = pathlib.Path(name).read_text(errors='replace')
            steps.extend(history.read_steps(text.splitlines()))
        found = history.find_history(steps, self.argument('request'))
        for step in found:
            self.line(history.format_step(step))
        return 0 if found else _FAILED


class ZoneCommand(CheckedCommand):
    """Takes a failure domain out or brings it back."""

    name = 'zone'
    description = 'Orders nodes to take a failure domain out or bring it back.'
    arguments = [
        helpers.argument('state', 'in or out.'),
        helpers.argument('zone', 'The name of the failure domain.'),
    ]
    options = [
        _NODE,
        helpers.option('token', None, "The operators' token.", flag=False),
    ]

    def work(self) -> int:
        """Give the order.

        Returns:
            The exit status.
        """
        order = {'state': self.argument('state'), 'author': getpass.getuser()}
        _fetch(
            self.require('node'),
            'PUT',
            f'/zones/{self.argument("zone")}',
            codec.encode_json(order),
            self.require('token'),
        )
        self.line('the node took the order and passes it on')
        return 0


class RolloutCommand(CheckedCommand):
    """Shows what became of a rollout, or waits for its end."""

    name = 'rollout'
    description = (
        'Shows a rollout; exit status 0 done, 1 taken back, 4 under way.'
    )
    arguments = [helpers.argument('rollout', 'The name of the rollout.')]
    options = [
        _PLATFORM,
        helpers.option('wait', None, 'Seconds to wait.', flag=False),
        _JSON,
    ]

    def work(self) -> int:
        """Show the rollout.

        Returns:
            The exit status.
        """
        wait = ini.parse_number(self.option('wait') or '0')
        object_store = client.HttpStore(self.require('platform'), _RATE)
        end = clock.read_monotonic() + wait
        record = self._read(object_store)
        while _is_running(record) and clock.read_monotonic() < end:
            gevent.sleep(_LOOK_SECONDS)
            record = self._read(object_store)
        if self.option('json'):
            self.line(codec.encode_json(record).decode())
        elif record:
            self.line(
                f'{record.phase.value}: share {record.share}; {record.reason}',
            )
        else:
            self.line('not begun')
        if _is_running(record):
            return _UNDER_WAY
        return 0 if record.phase is rollout.Phase.done else _FAILED

    def _read(self, object_store: client.HttpStore) -> rollout.Record | None:
        return controller.read_record(object_store, self.argument('rollout'))


class KeyCommand(CheckedCommand):
    """Digests a key."""

    name = 'key'
    description = 'Prints the digest of a key or token for declarations.'
    arguments = [helpers.argument('key', 'The key.')]

    def work(self) -> int:
        """Print the digest.

        Returns:
            The exit status.
        """
        self.line(index.digest_key(self.argument('key')))
        return 0


class Hop(msgspec.Struct):
    """A hop of a request.

    Attributes:
        hop: Its name.
        start: When it began, in seconds since the epoch.
        seconds: How long it took.
        attributes: What is known of it.
        status: Whether it failed.
    """

    hop: str
    start: float
    seconds: float
    attributes: dict[str, object]
    status: str


def run() -> int:
    """Run the command line.

    Returns:
        The exit status.
    """
    program = application.Application('pimentoway', VERSION)
    for kind in (
        EntryCommand,
        CheckCommand,
        ApplyCommand,
        ShowCommand,
        StatusCommand,
        TraceCommand,
        HistoryCommand,
        ZoneCommand,
        RolloutCommand,
        KeyCommand,
    ):
        program.add(kind())
    return program.run()


def describe_change(change: configuration.Change) -> list[str]:
    """Describe what a change puts and removes.

    Args:
        change: The change.

    Returns:
        A line for each record.
    """
    lines = []
    for table in configuration.TABLE_NAMES:
        for record in getattr(change.puts, table):
            name = configuration.identify_record(record)
            lines.append(f'put {table[:-1]} {name}')
    lines.extend(
        f'remove {gone.table[:-1]} {gone.name}' for gone in change.removals
    )
    return lines


def _read_settings(path: str) -> setting.Settings:
    return setting.read_settings(path, pathlib.Path(path).read_text())


def _read_tables(path: str) -> configuration.Tables:
    return declaration.read_declarations(path, pathlib.Path(path).read_text())


def _fetch(
    address: str, method: str, path: str, body: bytes = b'', token: str = ''
) -> bytes:
    call = connection.Call(
        address=address,
        method=method,
        path=path,
        body=body,
        headers=(('Authorization', f'Bearer {token}'),),
    )
    answer = connection.Pool().fetch(call)
    if answer.status >= _FIRST_ERROR:
        raise error.PimentowayError(
            f'status {answer.status}: {answer.body.decode()}',
            method,
            address,
        )
    return answer.body


def _format(text: object) -> str:
    if not isinstance(text, list):
        return str(text)
    return ''.join(f'\n  {line}' for line in text)


def _is_running(record: rollout.Record | None) -> bool:
    return record is None or record.phase is rollout.Phase.running


def _read_start(hop: Hop) -> float:
    return hop.start
