"""The command line of the system.

Exit statuses: 0 success; 1 the operation failed or was refused; 2 settings,
declarations or arguments are invalid; 3 the outcome is unknown, as an answer
was lost; 4 a rollout is still running.
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

_FAILED_STATUS = 1
_INVALID_STATUS = 2
_UNKNOWN_STATUS = 3
_RUNNING_STATUS = 4
_POLL_SECONDS = 1
_CALLS_PER_SECOND = 50
_MIN_HTTP_ERROR = 400
_JSON = helpers.option(
    'json', None, 'Prints JSON for scripts instead of text.', flag=True
)
_PLATFORM = helpers.option(
    'platform',
    None,
    "The IP address and port of the platform's object service.",
    flag=False,
)
_NODE = helpers.option(
    'node',
    None,
    "The IP address and port of any node's API for operators.",
    flag=False,
)


class BaseCommand(command.Command):
    """A command whose errors become messages and exit statuses.

    Subclasses implement ``perform``.
    """

    def handle(self) -> int:
        """Perform the command and report errors on standard error.

        Returns:
            The exit status, see the head of the module.
        """
        try:
            return self.perform()
        except (error.SettingError, OSError, ValueError) as fault:
            self.line_error(str(fault))
            return _INVALID_STATUS
        except (
            error.PlatformAmbiguousError,
            error.ConnectionLostError,
        ) as fault:
            self.line_error(f'unknown: {fault}')
            return _UNKNOWN_STATUS
        except error.PimentowayError as fault:
            self.line_error(f'refused: {fault}')
            return _FAILED_STATUS

    def perform(self) -> int:
        """Perform the command; returns the exit status.

        Raises:
            NotImplementedError: If the subclass does not implement it.
        """
        raise NotImplementedError

    def require(self, name: str) -> str:
        """Read a mandatory option.

        Args:
            name: The name of the option, without dashes.

        Returns:
            The text of the option.

        Raises:
            ValueError: If the option is missing or empty.
        """
        text = self.option(name)
        if not text:
            raise ValueError(f'--{name} is missing')
        return text


class EntryCommand(BaseCommand):
    """Runs an entry process in the foreground."""

    name = 'entry'
    description = 'Runs an entry process until SIGTERM or SIGINT.'
    arguments = [helpers.argument('settings', 'The INI file of the settings.')]

    def perform(self) -> int:
        """Serve until a signal ends the process.

        Returns:
            The exit status, see ``entry.serve``.
        """
        return entry.serve(_read_settings(self.argument('settings')))


class CheckCommand(BaseCommand):
    """Checks a file of settings or declarations."""

    name = 'check'
    description = 'Checks a file of settings or declarations without using it.'
    arguments = [
        helpers.argument('kind', 'The kind of file: settings or declarations.'),
        helpers.argument('file', 'The INI file.'),
    ]

    def perform(self) -> int:
        """Parse and validate the file.

        Returns:
            The exit status: 0, as invalid files raise.

        Raises:
            ValueError: If the kind of file is unknown or the file is invalid.
        """
        readers = {'settings': _read_settings, 'declarations': _read_tables}
        kind = self.argument('kind')
        if kind not in readers:
            raise ValueError(f'{kind!r} is neither settings nor declarations')
        readers[kind](self.argument('file'))
        self.line('no faults')
        return 0


class ApplyCommand(BaseCommand):
    """Replaces the configuration in force by declarations."""

    name = 'apply'
    description = (
        'Replaces the configuration in force by the declarations of a file.'
    )
    arguments = [helpers.argument('file', 'The INI file of the declarations.')]
    options = [
        _PLATFORM,
        helpers.option(
            'id',
            None,
            'The identifier of the change; repeat it to retry a change.',
            flag=False,
        ),
        helpers.option(
            'author',
            None,
            'The author of the change; the default is the current user.',
            flag=False,
        ),
        helpers.option(
            'dry-run',
            None,
            'Prints the changes without applying them.',
            flag=True,
        ),
        _JSON,
    ]

    def perform(self) -> int:
        """Apply the declarations as one change of the configuration.

        Nothing is written if they equal the configuration in force.

        Returns:
            The exit status.
        """
        object_store = client.HttpStore(
            self.require('platform'), _CALLS_PER_SECOND
        )
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


class ShowCommand(BaseCommand):
    """Shows the records of the configuration in force."""

    name = 'show'
    description = (
        'Shows tiers, customers, callers, zones, services, versions, '
        'engines, applications or rollouts.'
    )
    arguments = [helpers.argument('table', 'The kind of records to show.')]
    options = [_PLATFORM, _JSON]

    def perform(self) -> int:
        """Show the records.

        Returns:
            The exit status.

        Raises:
            ValueError: If there is no such kind of records.
        """
        table = self.argument('table')
        if table not in configuration.TABLE_NAMES:
            known = ', '.join(configuration.TABLE_NAMES)
            raise ValueError(f'{table!r} is none of {known}')
        object_store = client.HttpStore(
            self.require('platform'), _CALLS_PER_SECOND
        )
        current = head.read_configuration(object_store)
        records = getattr(current.tables, table)
        if self.option('json'):
            self.line(codec.encode_json(records).decode())
            return 0
        for record in records:
            fields = dataclasses.asdict(record).items()
            self.line(' '.join(f'{name}={text}' for name, text in fields))
        return 0


class StatusCommand(BaseCommand):
    """Shows the status that a node reports."""

    name = 'status'
    description = (
        'Shows the status of a node: itself, its back ends and its members.'
    )
    options = [_NODE, _JSON]

    def perform(self) -> int:
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


class TraceCommand(BaseCommand):
    """Shows the trace of one request, hop by hop."""

    name = 'trace'
    description = (
        'Shows the hops of one request; ask the node that accepted it.'
    )
    arguments = [helpers.argument('request', 'The identifier of the request.')]
    options = [_NODE, _JSON]

    def perform(self) -> int:
        """Show the hops in the order of their starts.

        Returns:
            The exit status: 0 if the node has a hop of the request.
        """
        path = f'/traces/{self.argument("request")}'
        body = _fetch(self.require('node'), 'GET', path)
        if self.option('json'):
            self.line(body.decode())
            return 0
        hops = codec.decode_json(body, list[Hop])
        for hop in sorted(hops, key=_get_start):
            attributes = ' '.join(str(text) for text in hop.attributes.values())
            self.line(
                f'{hop.hop:8} {hop.seconds:9.4f}s {hop.status} {attributes}'
            )
        return 0 if hops else _FAILED_STATUS


class HistoryCommand(BaseCommand):
    """Shows the log records of one request from the logs of many nodes."""

    name = 'history'
    description = 'Shows the records of one request in log files of nodes.'
    arguments = [
        helpers.argument('request', 'The identifier of the request.'),
        helpers.argument('files', 'The log files.', multiple=True),
    ]

    def perform(self) -> int:
        """Show the records in the order of time.

        Returns:
            The exit status: 0 if the logs have a record of the request.
        """
        records = []
        for name in self.argument('files'):
            text = pathlib.Path(name).read_text(errors='replace')
            records.extend(history.read_records(text.splitlines()))
        found = history.find_history(records, self.argument('request'))
        for record in found:
            self.line(history.format_record(record))
        return 0 if found else _FAILED_STATUS


class ZoneCommand(BaseCommand):
    """Closes or opens a failure domain."""

    name = 'zone'
    description = (
        'Orders the nodes to close (out) or open (in) a failure domain.'
    )
    arguments = [
        helpers.argument('state', 'The state: in or out.'),
        helpers.argument('zone', 'The name of the failure domain.'),
    ]
    options = [
        _NODE,
        helpers.option('token', None, "The operators' token.", flag=False),
    ]

    def perform(self) -> int:
        """Send the order to one node, which spreads it to the others.

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


class RolloutCommand(BaseCommand):
    """Shows the state of a rollout, or waits for its end."""

    name = 'rollout'
    description = (
        'Shows a rollout; exit status 0 done, 1 rolled back, 4 running.'
    )
    arguments = [helpers.argument('rollout', 'The name of the rollout.')]
    options = [
        _PLATFORM,
        helpers.option(
            'wait', None, 'The most seconds to wait for the end.', flag=False
        ),
        _JSON,
    ]

    def perform(self) -> int:
        """Show the rollout, after waiting for its end if asked to.

        Returns:
            The exit status: 0 done, 1 rolled back, 4 running or not started.
        """
        wait_seconds = ini.parse_nonnegative_number(self.option('wait') or '0')
        object_store = client.HttpStore(
            self.require('platform'), _CALLS_PER_SECOND
        )
        end = clock.read_monotonic() + wait_seconds
        record = self._read(object_store)
        while _is_running(record) and clock.read_monotonic() < end:
            gevent.sleep(_POLL_SECONDS)
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
            return _RUNNING_STATUS
        return 0 if record.phase is rollout.Phase.done else _FAILED_STATUS

    def _read(self, object_store: client.HttpStore) -> rollout.Record | None:
        return controller.read_record(object_store, self.argument('rollout'))


class KeyCommand(BaseCommand):
    """Prints the digest of a key."""

    name = 'key'
    description = 'Prints the digest of a key or token for declarations.'
    arguments = [helpers.argument('key', 'The key.')]

    def perform(self) -> int:
        """Print the digest.

        Returns:
            The exit status.
        """
        self.line(index.digest_key(self.argument('key')))
        return 0


class Hop(msgspec.Struct):
    """A hop of a request, as the API for operators reports it.

    Attributes:
        hop: The name of the hop.
        start: The wall-clock time of its start, in seconds.
        seconds: Its duration.
        attributes: The attributes of its span.
        status: Its outcome, as text.
    """

    hop: str
    start: float
    seconds: float
    attributes: dict[str, object]
    status: str


def run() -> int:
    """Run the command that the arguments of the process name.

    Returns:
        The exit status.
    """
    program = application.Application('pimentoway', VERSION)
    for command_class in (
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
        program.add(command_class())
    return program.run()


def describe_change(change: configuration.Change) -> list[str]:
    """Describe the records that a change writes and removes.

    Args:
        change: The change.

    Returns:
        A line for each record, written ones first.
    """
    lines = []
    for table in configuration.TABLE_NAMES:
        for record in getattr(change.puts, table):
            name = configuration.identify_record(record)
            lines.append(f'put {table[:-1]} {name}')
    lines.extend(
        f'remove {removal.table[:-1]} {removal.name}'
        for removal in change.removals
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
    response = connection.Pool().fetch(call)
    if response.status >= _MIN_HTTP_ERROR:
        raise error.PimentowayError(
            f'status {response.status}: {response.body.decode()}',
            method,
            address,
        )
    return response.body


def _format(text: object) -> str:
    if not isinstance(text, list):
        return str(text)
    return ''.join(f'\n  {line}' for line in text)


def _is_running(record: rollout.Record | None) -> bool:
    return record is None or record.phase is rollout.Phase.running


def _get_start(hop: Hop) -> float:
    return hop.start
