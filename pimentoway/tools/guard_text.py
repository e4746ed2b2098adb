"""A guard: quoted code that prevents a fault, and the tests that show it."""

import dataclasses
import shlex


@dataclasses.dataclass(frozen=True)
class Guard:
    """A piece of code whose removal must make a test fail.

    Attributes:
        name: The name in docs/PROOFS.md.
        path: The path of the module, relative to the package.
        text: The quoted code. The first occurrence in the module is replaced.
        replacement: The code that stands in its place in the test copy.
        tests: The tests that must then fail, as arguments of pytest separated
            and quoted as in a shell.
        clock: The clock of the tests: ``paused`` is simulated, ``real`` not.
    """

    name: str
    path: str
    text: str
    replacement: str
    tests: str
    clock: str = 'paused'

    def split_tests(self) -> list[str]:
        """Split the selection of tests into arguments.

        Returns:
            The arguments of pytest.
        """
        return shlex.split(self.tests)
