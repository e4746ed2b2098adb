"""Tests of the check of guards: which runs of pytest show a guard."""

import pathlib
import signal

import pytest

from pimentoway.tools import guard, guard_text


def test_quoted_argument_is_not_split() -> None:
    """Split at each space, a selection of tests is an error of usage."""
    checked = guard_text.Guard('', '', '', '', 'a_test.py -k "one or two"')
    assert checked.split_tests() == ['a_test.py', '-k', 'one or two']


@pytest.mark.parametrize(
    ('status', 'shown'),
    [
        (pytest.ExitCode.TESTS_FAILED, True),
        (-signal.SIGKILL, True),
        (pytest.ExitCode.OK, False),
        (pytest.ExitCode.INTERRUPTED, False),
        (pytest.ExitCode.INTERNAL_ERROR, False),
        (pytest.ExitCode.USAGE_ERROR, False),
        (pytest.ExitCode.NO_TESTS_COLLECTED, False),
    ],
)
def test_only_failed_tests_show_a_guard(status: int, shown: bool) -> None:
    """A hanging test fails too; a run without tests shows nothing."""
    assert guard.is_shown(status) == shown


@pytest.mark.parametrize('checked', guard.GUARDS, ids=lambda one: one.name)
def test_quoted_code_is_in_its_module(checked: guard_text.Guard) -> None:
    """A guard whose code was changed would only fail in `make guards`."""
    folder = pathlib.Path(guard.__file__).parent.parent
    assert checked.text in (folder / checked.path).read_text()
