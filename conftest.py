"""The clock of the tests: paused, unless real processes are tested."""

import os

import gevent

from pimentoway.standin import paused_loop

if os.environ.get('PIMENTOWAY_TEST_CLOCK') != 'real':
    gevent.config.loop = paused_loop.LOOP_PATH
