"""The clock of the tests: paused, unless real processes are tested."""

import collections
import os
import random

import gevent
import pytest

from pimentoway.standin import paused_loop

PAUSED = os.environ.get('PIMENTOWAY_TEST_CLOCK') != 'real'

#: The seed of Python's global random generator in each test.
SEED = 1

if PAUSED:
    gevent.config.loop = paused_loop.LOOP_PATH


@pytest.fixture(autouse=True)
def _end_tasks() -> collections.abc.Iterator[None]:
    # A task that a test left would run again and again in later tests.
    if PAUSED:
        random.seed(SEED)
    yield
    if PAUSED:
        paused_loop.reset_tasks(SEED)
