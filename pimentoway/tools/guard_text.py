"""A guard of the code: what is taken out, and which test must see it."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Guard:
    """A guard of the code.

    Attributes:
        name: Its name in docs/PROOFS.md.
        path: The module, below the package.
        text: The code of the guard.
        without: What stands there when it is taken out.
        tests: The tests that must fail then, as pytest's arguments.
        clock: Whether the tests run on the ``paused`` or the ``real`` clock.
    """

    name: str
    path: str
    text: str
    without: str
    tests: str
    clock: str = 'paused'
