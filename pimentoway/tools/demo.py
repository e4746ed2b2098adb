"""The demo: starts a local deployment and sends requests to it."""

import pathlib
import shutil
import sys
import types
import uuid

import gevent

from pimentoway.core import codec
from pimentoway.tools import local

_FOLDER = pathlib.Path('.demo')
_ARCHIVE = pathlib.Path('dist/pimentoway')
_STANDIN_ARCHIVE = pathlib.Path('dist/pimentoway-standin')
_CHAT_COUNT = 4
_OK = 200
_CHAT = types.MappingProxyType(
    {
        'model': 'captions',
        'messages': [{'role': 'user', 'content': 'A caption for page one.'}],
        'max_tokens': 8,
        'stream': True,
    }
)


def run() -> int:
    """Run the demo; with ``--up`` the deployment runs until Ctrl-C.

    Returns:
        The exit status: 0 if every request got status 200.
    """
    keep_running = '--up' in sys.argv[1:]
    shutil.rmtree(_FOLDER, ignore_errors=True)
    deployment = local.Deployment(make_layout(), _FOLDER)
    try:
        _print(f'starting; logs are in {_FOLDER}')
        deployment.start()
        all_ok = _send_requests(deployment)
        if keep_running:
            _wait_for_interrupt(deployment)
    finally:
        deployment.stop()
    _print('all processes have ended')
    return 0 if all_ok else 1


def make_layout() -> local.Layout:
    """Choose the programs to run.

    Returns:
        The default layout, with the built archives if they exist and the
        source tree if not.
    """
    if not _ARCHIVE.exists():
        return local.Layout()
    return local.Layout(
        pimentoway=(sys.executable, str(_ARCHIVE)),
        standin=(sys.executable, str(_STANDIN_ARCHIVE)),
    )


def _send_requests(deployment: local.Deployment) -> bool:
    statuses = [
        _send_chat(deployment.entries[number % len(deployment.entries)])
        for number in range(_CHAT_COUNT)
    ]
    entry = deployment.entries[0]
    key = uuid.uuid4().hex
    for attempt in ('first', 'resent'):
        status = _send_release(entry, key, attempt)
        statuses.append(status)
    return all(status == _OK for status in statuses)


def _send_chat(entry: local.ProcessSpec) -> int:
    response = local.fetch(
        entry.address,
        'POST',
        '/v1/chat/completions',
        codec.encode_json(dict(_CHAT)),
        local.authorize(local.URGENT_KEY),
    )
    events = response.body.decode().split('\n\n')
    _print(f'chat through {entry.name}: status {response.status}')
    if response.status == _OK:
        first = codec.decode_json(events[0].removeprefix('data: '), dict)
        _print(f'  {len(events) - 1} events, the last is {events[-2]!r}')
        _print_hops(entry, first['id'])
    return response.status


def _send_release(entry: local.ProcessSpec, key: str, attempt: str) -> int:
    headers = (*local.authorize(local.URGENT_KEY), ('Idempotency-Key', key))
    response = local.fetch(
        entry.address,
        'POST',
        '/v1/services/releases/tags/7',
        b'{"tag":7}',
        headers,
    )
    _print(
        f'release, {attempt}: status {response.status} {response.body.decode()}'
    )
    return response.status


def _print_hops(entry: local.ProcessSpec, request_id: str) -> None:
    response = local.fetch(
        entry.operators_address, 'GET', f'/traces/{request_id}'
    )
    for hop in codec.decode_json(response.body, list):
        backend = hop['attributes'].get('backend', '')
        _print(f'  hop {hop["hop"]}: {hop["seconds"]:.4f} s {backend}')


def _wait_for_interrupt(deployment: local.Deployment) -> None:
    for entry in deployment.entries:
        _print(
            f'{entry.name}: callers at http://{entry.address}/v1, '
            f'operators at http://{entry.operators_address}',
        )
    _print(f'keys: {local.URGENT_KEY} (urgent), {local.BATCH_KEY} (batch)')
    _print('press Ctrl-C to end')
    try:
        gevent.wait()
    except KeyboardInterrupt:
        _print('ending')


def _print(text: str) -> None:
    sys.stdout.write(f'demo: {text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(run())
