"""The demo: a deployment of separate processes that carries real requests."""

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
_REQUESTS = 4
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
    """Run the demo.

    Returns:
        The exit status: 0 if every request was answered.
    """
    stay = '--up' in sys.argv[1:]
    shutil.rmtree(_FOLDER, ignore_errors=True)
    deployment = local.Deployment(make_layout(), _FOLDER)
    try:
        _print(f'starting; logs are in {_FOLDER}')
        deployment.start()
        answered = _show(deployment)
        if stay:
            _stay(deployment)
    finally:
        deployment.stop()
    _print('all processes have ended')
    return 0 if answered else 1


def make_layout() -> local.Layout:
    """Choose the programs: the built archives, or this interpreter.

    Returns:
        The layout of the demo.
    """
    if not _ARCHIVE.exists():
        return local.Layout()
    return local.Layout(
        pimentoway=(sys.executable, str(_ARCHIVE)),
        standin=(sys.executable, str(_STANDIN_ARCHIVE)),
    )


def _show(deployment: local.Deployment) -> bool:
    statuses = [
        _show_chat(deployment.entries[number % len(deployment.entries)])
        for number in range(_REQUESTS)
    ]
    entry = deployment.entries[0]
    key = uuid.uuid4().hex
    for attempt in ('first', 'resent'):
        status = _show_release(entry, key, attempt)
        statuses.append(status)
    return all(status == _OK for status in statuses)


def _show_chat(entry: local.Place) -> int:
    answer = local.fetch(
        entry.address,
        'POST',
        '/v1/chat/completions',
        codec.encode_json(dict(_CHAT)),
        local.authorize(local.URGENT_KEY),
    )
    events = answer.body.decode().split('\n\n')
    _print(f'chat through {entry.name}: status {answer.status}')
    if answer.status == _OK:
        first = codec.decode_json(events[0].removeprefix('data: '), dict)
        _print(f'  {len(events) - 1} events, the last is {events[-2]!r}')
        _show_hops(entry, first['id'])
    return answer.status


def _show_release(entry: local.Place, key: str, attempt: str) -> int:
    headers = (*local.authorize(local.URGENT_KEY), ('Idempotency-Key', key))
    answer = local.fetch(
        entry.address,
        'POST',
        '/v1/services/releases/tags/7',
        b'{"tag":7}',
        headers,
    )
    _print(f'release, {attempt}: status {answer.status} {answer.body.decode()}')
    return answer.status


def _show_hops(entry: local.Place, request_id: str) -> None:
    answer = local.fetch(entry.operators, 'GET', f'/traces/{request_id}')
    for hop in codec.decode_json(answer.body, list):
        backend = hop['attributes'].get('backend', '')
        _print(f'  hop {hop["hop"]}: {hop["seconds"]:.4f} s {backend}')


def _stay(deployment: local.Deployment) -> None:
    for entry in deployment.entries:
        _print(
            f'{entry.name}: callers at http://{entry.address}/v1, '
            f'operators at http://{entry.operators}',
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
