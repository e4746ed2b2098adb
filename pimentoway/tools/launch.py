"""The entry points of the programs.

Most of them patch the standard library for gevent before they import the
program itself, so that its blocking calls yield to other greenlets.
"""

import importlib
import sys

import gevent
from gevent import monkey

from pimentoway.tools import early

#: The exit status if the command line is invalid.
_USAGE_STATUS = 2


def main() -> int:
    """Run the command line of the system, or a node on the users' platform.

    Returns:
        The exit status.
    """
    monkey.patch_all()
    if sys.argv[1:] == [early.EDGE_VERB]:
        # The whole command line takes more memory than small VMs have.
        return importlib.import_module('pimentoway.tools.edge_entry').run()
    return importlib.import_module('pimentoway.tools.command').run()


def main_standin() -> int:
    """Run the command line of the stand-ins.

    Returns:
        The exit status.
    """
    monkey.patch_all()
    return importlib.import_module('pimentoway.tools.standin').run()


def main_demo() -> int:
    """Run the demo.

    Returns:
        The exit status.
    """
    monkey.patch_all()
    return importlib.import_module('pimentoway.tools.demo').run()


def main_bench() -> int:
    """Run the benchmark of scheduling decisions on the simulated clock.

    Returns:
        The exit status.
    """
    return _run_paused('pimentoway.tools.bench')


def main_pattern() -> int:
    """Run the benchmark of load patterns on the simulated clock.

    Returns:
        The exit status.
    """
    return _run_paused('pimentoway.tools.pattern')


def main_overload() -> int:
    """Print the overload curve, measured on the simulated clock.

    Returns:
        The exit status.
    """
    return _run_paused('pimentoway.tools.overload')


def main_placement() -> int:
    """Run the benchmark of placement on the simulated clock.

    Returns:
        The exit status.
    """
    return _run_paused('pimentoway.tools.placement')


def main_waves() -> int:
    """Simulate uneven demand in failure domains on the simulated clock.

    Returns:
        The exit status.
    """
    return _run_paused('pimentoway.tools.waves')


def main_zone_faults() -> int:
    """Simulate a burst and a loss in a failure domain on the simulated clock.

    Returns:
        The exit status.
    """
    return _run_paused('pimentoway.tools.zonefaults')


def main_rollouts() -> int:
    """Measure how often rollouts are judged rightly, on the simulated clock.

    Returns:
        The exit status.
    """
    return _run_paused('pimentoway.tools.rollouts')


def main_reuse() -> int:
    """Run the benchmark of new connections on the simulated clock.

    Returns:
        The exit status.
    """
    return _run_paused('pimentoway.tools.reuse')


def main_decision() -> int:
    """Measure the time that decisions of the broker take.

    Returns:
        The exit status.
    """
    return importlib.import_module('pimentoway.tools.decision').run()


def main_partition() -> int:
    """Measure nodes that have lost their paths to all back ends.

    Returns:
        The exit status.
    """
    monkey.patch_all()
    return importlib.import_module('pimentoway.tools.partition').run()


def main_soak() -> int:
    """Run soak tests: SECONDS each, with FAULTS faults, one for each SEED.

    Returns:
        The exit status; 2 if the arguments are invalid.
    """
    monkey.patch_all()
    soak = importlib.import_module('pimentoway.soak.play')
    try:
        seconds, faults, *seeds = (int(argument) for argument in sys.argv[1:])
    except ValueError:
        sys.stderr.write('Expected whole numbers: SECONDS FAULTS SEED...\n')
        return _USAGE_STATUS
    return soak.run(seeds, seconds, faults)


def main_duty_soak() -> int:
    """Run soak tests of the duties: SECONDS each, one for each SEED.

    Returns:
        The exit status; 2 if the arguments are invalid.
    """
    monkey.patch_all()
    soak = importlib.import_module('pimentoway.soak.duty_play')
    try:
        seconds, *seeds = (int(argument) for argument in sys.argv[1:])
    except ValueError:
        sys.stderr.write('Expected whole numbers: SECONDS SEED...\n')
        return _USAGE_STATUS
    return soak.run(seeds, seconds)


def main_duty_fleet_soak() -> int:
    """Run soak tests of whole nodes with duties: SECONDS FAULTS SEED...

    FAULTS is ``all``, ``none`` or some kinds, separated by commas.

    Returns:
        The exit status; 2 if the arguments are invalid.
    """
    monkey.patch_all()
    soak = importlib.import_module('pimentoway.soak.duty_fleet')
    try:
        seconds, kinds, *seeds = sys.argv[1:]
        return soak.run(
            [int(seed) for seed in seeds], int(seconds), soak.find_kinds(kinds)
        )
    except ValueError as fault:
        sys.stderr.write(f'{fault}\nExpected: SECONDS FAULTS SEED...\n')
        return _USAGE_STATUS


def main_slope() -> int:
    """Measure the growth rates of docs/CAPACITY.md with real processes.

    Returns:
        The exit status.
    """
    monkey.patch_all()
    return importlib.import_module('pimentoway.tools.slope').run()


def main_overhead() -> int:
    """Measure the latency that an entry process adds to a call.

    Returns:
        The exit status.
    """
    monkey.patch_all()
    return importlib.import_module('pimentoway.tools.overhead').run()


def _run_paused(module: str) -> int:
    paused_loop = importlib.import_module('pimentoway.standin.paused_loop')
    gevent.config.loop = paused_loop.LOOP_PATH
    return importlib.import_module(module).run()
