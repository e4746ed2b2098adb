"""Tests of the evidence against prefixes of prompts, on the paused clock."""

import pytest

from pimentoway.core import configuration, error, evidence, request
from pimentoway.ops import prefixguard
from pimentoway.standin import paused_loop

SERVICE = configuration.Service(name='captions', pool='pool')
CALLER = configuration.Caller(name='c', customer='c', tier='t', key_digest='')

#: Bytes that are longer than a block of the prefix index.
BEGINNING = 'Describe the page. ' * 40
FIRST_BLOCK = 'S' * request.PREFIX_BLOCK_BYTES


def make_request(prompt: str) -> request.Request:
    """Make a request for a prompt.

    Args:
        prompt: The prompt.

    Returns:
        The request.
    """
    return request.Request(
        prompt,
        CALLER,
        0,
        1,
        SERVICE,
        prompt.encode(),
        0,
        prefixes=request.digest_prefixes(prompt.encode()),
    )


def crash(
    crashed: prefixguard.PrefixGuard,
    number: int,
    req: request.Request,
    *others: prefixguard.PrefixGuard,
) -> None:
    """Let a back end crash that has just begun to run a request.

    Args:
        crashed: The guard of the node that sent the request.
        number: Identifies the crash.
        req: The request.
        *others: The guards of other nodes, which learn of it.
    """
    paused_loop.advance(1)
    suspicion = evidence.CrashSuspicion(
        f'f{number}',
        f'e{number}/1',
        False,
        SERVICE.name,
        crashed.list_suspects(req),
        0.1,
    )
    for guard in (crashed, *others):
        guard.record(suspicion)


def test_shared_beginning_is_blocked() -> None:
    """Five crashes in a row block the beginning that their requests share."""
    here, there = prefixguard.PrefixGuard(), prefixguard.PrefixGuard()
    for number in range(5):
        here.check(make_request(f'{BEGINNING} Page {number}'))
        crash(here, number, make_request(f'{BEGINNING} Page {number}'), there)
    for guard in (here, there):
        with pytest.raises(error.QuarantinedError):
            guard.check(make_request(f'{BEGINNING} Page 9'))
        guard.check(make_request('Another prompt'))


def test_sound_beginning_is_not_blocked() -> None:
    """Sound prompts share the first block with those that crash back ends.

    Another node, which has no traffic with that block, does not block it.
    """
    here, there = prefixguard.PrefixGuard(), prefixguard.PrefixGuard()
    sound = make_request(FIRST_BLOCK)
    for number in range(8):
        here.record_answer(sound)
        bad = make_request(f'{FIRST_BLOCK}{BEGINNING} Page {number}')
        crash(here, number, bad, there)
    here.check(sound)
    there.check(sound)
    with pytest.raises(error.QuarantinedError):
        there.check(bad)
