"""A faulty engine writes its refusal of a request once more.

Both engines are full for a moment and refuse a request, with the time after
which it may come back. The engine to which it comes back, on the channel that
was kept, writes the earlier refusal once more and runs the request. Only the
engine that does this first is faulty, the other one is sound.
"""

import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standin  # noqa: E402

TROUBLE = os.environ.get('TROUBLE') != '0'
REQUESTS = 20


class BusyEngine(standin.Engine):
    """Is full when a request comes first, and serves it when it returns."""

    #: The names of the faulty engines, one at most.
    faulty: list[str] = []

    def answer(self, conn, headers, body, state):  # noqa: D102
        attempt = headers[standin.ATTEMPT]
        if attempt not in self.refused:
            self.refused.add(attempt)
            state['refusal'] = standin.make_answer(
                503,
                self.name,
                attempt,
                b'full',
                'Pimentoway-Not-Executed: 1',
                'Retry-After: 0.2',
            )
            self.record.write(f'{self.name} refuses {attempt}: 503, not run')
            conn.sock.sendall(state['refusal'])
            return True
        refusal = state.pop('refusal', b'')
        if refusal and TROUBLE and not self.faulty:
            self.faulty.append(self.name)
        if refusal and self.name in self.faulty:
            self.record.write(f'{self.name} writes its refusal once more')
            conn.sock.sendall(refusal)
        self.run(conn, attempt, 0.05)
        return True

    @property
    def refused(self) -> set:
        """The ids of the requests that it refused.

        Returns:
            The ids.
        """
        return self.__dict__.setdefault('_refused', set())


def main() -> int:
    """Play the case.

    Returns:
        1 if a request ran twice or was refused though it ran, else 0.
    """
    site = standin.Site(FOLDER)
    try:
        engines = [
            BusyEngine(name, site.store, site.record) for name in ('i-a', 'i-b')
        ]
        site.start_nodes('z1', 'z1')
        statuses = {}
        for number in range(REQUESTS):
            node = site.nodes[number % 2]
            attempt = f'{number:016x}'
            statuses[attempt] = standin.call(
                node.front, attempt, 'unsafe', site.record
            )
            time.sleep(0.1)
        time.sleep(1)
    finally:
        site.close()
    runs = [attempt for engine in engines for attempt, _ in engine.runs]
    if len(set(runs)) < REQUESTS / 2:
        site.record.write('too few requests were served')
        return 2
    twice = sorted({run for run in runs if runs.count(run) > 1})
    refused = [
        run for run in set(runs) if statuses[run] in {429, 503, 408, 421}
    ]
    site.record.write(f'TWICE: {twice}')
    site.record.write(f'REFUSED: {sorted(refused)}')
    return 1 if twice or refused else 0


if __name__ == '__main__':
    try:
        sys.exit(main())
    except RuntimeError as fault:
        print(fault)
        sys.exit(2)
