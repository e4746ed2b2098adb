"""A stand-in for a model engine: batching, a prefix cache and cold starts.

It takes its time from gevent, so that it runs in real time behind HTTP and on
the paused clock inside tests. It keeps a ledger of what it ran, on which the
proofs rest.
"""

import collections
import dataclasses
import enum
import hashlib
import itertools
import uuid

import gevent
from gevent import event as gevent_event

from pimentoway.core import clock, error, request
from pimentoway.ops import fleet

#: The text in a prompt that crashes every engine that runs it.
POISON = 'crash-the-engine'

#: The reports that are kept, for the lag.
KEPT_REPORTS = 200

#: The finished runs that can still be resumed.
KEPT_RUNS = 2000


@dataclasses.dataclass
class Traits:
    """What an engine is like, and the faults that it shows.

    Attributes:
        slots: The runs in one batch.
        gap: Seconds between tokens when it runs one request.
        prefill: Seconds for a token of the prompt that is not cached.
        cold_seconds: Seconds of a cold start.
        cold_slots: The runs that it bears while cold.
        cold_factor: How many times slower it is while cold.
        restart_seconds: Seconds for which it is down after a crash.
        report_lag: Seconds by which its reports lag.
        cached_blocks: The prefix blocks that its cache holds.
        slowness: How many times slower it is, for a straggler.
        blank: Whether it answers without any text.
        failing: Whether it answers with errors.
        frozen: Whether it stands still.
        cut_after: The tokens after which it drops a stream, once; 0 for none.
        foreign_after: The tokens after which it sends another request's event,
            once; 0 for none.
        doubling: Whether it repeats a token when a stream is resumed.
    """

    slots: int = 8
    gap: float = 0.02
    prefill: float = 0.0004
    cold_seconds: float = 0
    cold_slots: int = 2
    cold_factor: float = 4
    restart_seconds: float = 5
    report_lag: float = 1
    cached_blocks: int = 512
    slowness: float = 1
    blank: bool = False
    failing: bool = False
    frozen: bool = False
    cut_after: int = 0
    foreign_after: int = 0
    doubling: bool = False


class RunState(enum.Enum):
    """What became of a run."""

    waiting = 'waiting'
    running = 'running'
    done = 'done'
    cancelled = 'cancelled'
    crashed = 'crashed'


#: The states in which a run goes on.
LIVE_STATES = frozenset((RunState.waiting, RunState.running))


@dataclasses.dataclass
class Run:
    """A run of one request.

    Attributes:
        run_id: The identifier of the request.
        fingerprint: The digest of its prompt.
        prompt: The prompt.
        length: The tokens to generate.
        arrived: When it arrived.
        tokens: The tokens generated so far.
        started: When it began to run; 0 while it waits.
        state: What became of it.
        changed: Set and cleared whenever something changes.
    """

    run_id: str
    fingerprint: str
    prompt: bytes
    length: int
    arrived: float = 0
    tokens: list[str] = dataclasses.field(default_factory=list)
    started: float = 0
    state: RunState = RunState.waiting
    changed: gevent_event.Event = dataclasses.field(
        default_factory=gevent_event.Event,
    )

    def notify(self) -> None:
        """Wake all who read the run."""
        self.changed.set()
        self.changed.clear()


class EngineModel:
    """A model engine.

    Attributes:
        name: Its name.
        traits: What it is like.
        ledger: Every run that it ever took, in order.
        crashes: How often it crashed.
        prefill_tokens: The prompt tokens that it computed.
        peak_cold: The most runs that it had at once while cold.
    """

    def __init__(self, name: str, traits: Traits | None = None) -> None:
        """Start the engine.

        Args:
            name: Its name.
            traits: What it is like.
        """
        self.name = name
        self.traits = traits or Traits()
        self.ledger: list[Run] = []
        self.crashes = 0
        self.prefill_tokens = 0
        self.peak_cold = 0
        self.down_until: float = 0
        self.draining = False
        self._boots = itertools.count(1)
        self._prefixes: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._reports: collections.deque[tuple[float, fleet.Report]] = (
            collections.deque(maxlen=KEPT_REPORTS)
        )
        self.start()

    def start(self, cold: bool = True) -> None:
        """Start anew, with an empty cache.

        Args:
            cold: Whether it begins with a cold start.
        """
        self.boot = f'{self.name}-{next(self._boots)}-{uuid.uuid4().hex[:6]}'
        self.started = clock.read_monotonic()
        self.cold_until = self.started
        if cold:
            self.cold_until += self.traits.cold_seconds
        self.runs_by_id: dict[str, Run] = {}
        self._live_runs: list[Run] = []
        self._prefixes.clear()
        self._reports.clear()

    def fall_back(self) -> None:
        """Fall back into a cold start without a warning."""
        self.cold_until = clock.read_monotonic() + self.traits.cold_seconds

    def is_cold(self) -> bool:
        """Tell whether it is in a cold start.

        Returns:
            Whether it bears only a little.
        """
        return clock.read_monotonic() < self.cold_until

    def is_down(self) -> bool:
        """Tell whether it refuses connections.

        Returns:
            Whether it is down.
        """
        return clock.read_monotonic() < self.down_until

    def crash(self) -> None:
        """Crash: every run is lost, and a cold start follows."""
        self.crashes += 1
        for run in list(self.runs_by_id.values()):
            if run.state in LIVE_STATES:
                run.state = RunState.crashed
                run.notify()
        self.down_until = clock.read_monotonic() + self.traits.restart_seconds
        self.start()
        self.started = self.down_until
        self.cold_until = self.down_until + self.traits.cold_seconds

    def submit(self, run_id: str, prompt: bytes, length: int) -> Run:
        """Take a request.

        Args:
            run_id: The identifier of the request.
            prompt: The prompt.
            length: The tokens to generate.

        Returns:
            The run, which goes on whether or not somebody reads it.

        Raises:
            FailedError: If the engine answers with errors.
        """
        fingerprint = hashlib.sha256(prompt).hexdigest()[:8]
        arrived = clock.read_monotonic()
        run = Run(run_id, fingerprint, prompt, length, arrived)
        self.ledger.append(run)
        if self.traits.failing:
            run.state = RunState.done
            raise error.FailedError('status 500', 'run', self.name)
        self.runs_by_id[run_id] = run
        if not self._is_full():
            run.state = RunState.running
        self._live_runs.append(run)
        while len(self.runs_by_id) > KEPT_RUNS:
            self.runs_by_id.pop(next(iter(self.runs_by_id)))
        gevent.spawn(self._generate, run)
        return run

    def read(
        self, run: Run, after: int
    ) -> collections.abc.Iterator[tuple[int, str | None]]:
        """Read a run's tokens as they come.

        Args:
            run: The run.
            after: The number of the last token that was read.

        Yields:
            The number and the text of each token; the end has no text.

        Raises:
            ConnectionLostError: If the engine crashed or dropped the stream.
        """
        position = max(after - self.traits.doubling, 0)
        while run.state in LIVE_STATES or position < len(run.tokens):
            if position == len(run.tokens):
                run.changed.wait()
                continue
            self._drop_stream(position)
            position += 1
            yield position, run.tokens[position - 1]
        if run.state is not RunState.done:
            raise error.ConnectionLostError(
                f'run {run.state.value}', 'read', self.name
            )
        yield position + 1, None

    def cancel(self, run_id: str) -> None:
        """Cancel a run.

        Args:
            run_id: The identifier of the request.
        """
        run = self.runs_by_id.get(run_id)
        if run and run.state in LIVE_STATES:
            run.state = RunState.cancelled
            run.notify()

    def count_running(self) -> int:
        """Count the runs in the batch.

        Returns:
            The runs.
        """
        return self._count(RunState.running)

    def report(self) -> fleet.Report:
        """Report the load, as it was some seconds ago.

        Returns:
            The report.
        """
        now = clock.read_monotonic()
        fresh = fleet.Report(
            boot=self.boot,
            uptime=now - self.started,
            running=self._count(RunState.running),
            waiting=self._count(RunState.waiting),
            draining=self.draining,
        )
        self._reports.append((now, fresh))
        lagging = fresh
        for noted, report in self._reports:
            if noted > now - self.traits.report_lag:
                break
            lagging = report
        return fleet.Report(
            boot=self.boot,
            uptime=fresh.uptime,
            running=lagging.running,
            waiting=lagging.waiting,
            draining=lagging.draining,
        )

    def _count(self, state: RunState) -> int:
        return sum(1 for run in self._live_runs if run.state is state)

    def _generate(self, run: Run) -> None:
        self._await_batch(run)
        if run.state not in LIVE_STATES:
            self._forget(run)
            return
        run.state = RunState.running
        run.started = clock.read_monotonic()
        self._check_cold_load()
        gevent.sleep(self._prefill(run))
        if POISON.encode() in run.prompt and run.state is RunState.running:
            self.crash()
        while run.state is RunState.running and len(run.tokens) < run.length:
            gevent.sleep(self._measure_gap())
            self._add_token(run)
        if run.state is RunState.running:
            run.state = RunState.done
            run.notify()
        self._forget(run)

    def _forget(self, run: Run) -> None:
        # A crash has forgotten all runs already.
        self._live_runs = [one for one in self._live_runs if one is not run]

    def _await_batch(self, run: Run) -> None:
        while run.state is RunState.waiting and self._is_full():
            gevent.sleep(self.traits.gap)

    def _is_full(self) -> bool:
        return self._count(RunState.running) >= self.traits.slots

    def _add_token(self, run: Run) -> None:
        if self.traits.frozen or run.state is not RunState.running:
            return
        number = len(run.tokens) + 1
        text = '' if self.traits.blank else f'{run.fingerprint}-{number} '
        run.tokens.append(text)
        run.notify()

    def _measure_gap(self) -> float:
        traits = self.traits
        busy = 1 + self._count(RunState.running) / traits.slots
        cold = traits.cold_factor if self.is_cold() else 1
        return traits.gap * busy * cold * traits.slowness

    def _prefill(self, run: Run) -> float:
        prefixes = request.digest_prefixes(run.prompt)
        hits = sum(1 for prefix in prefixes if prefix in self._prefixes)
        for prefix in prefixes:
            self._prefixes[prefix] = None
            self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > self.traits.cached_blocks:
            self._prefixes.popitem(last=False)
        tokens = len(run.prompt) // request.BYTES_PER_TOKEN
        saved = hits * request.PREFIX_BLOCK_BYTES // request.BYTES_PER_TOKEN
        computed = max(tokens - saved, 1)
        self.prefill_tokens += computed
        return computed * self.traits.prefill * self.traits.slowness

    def _check_cold_load(self) -> None:
        if not self.is_cold():
            return
        running = self._count(RunState.running)
        self.peak_cold = max(self.peak_cold, running)
        if running > self.traits.cold_slots:
            self.crash()

    def _drop_stream(self, position: int) -> None:
        if self.traits.cut_after and position == self.traits.cut_after:
            self.traits.cut_after = 0
            raise error.ConnectionLostError('stream dropped', 'read', self.name)


@dataclasses.dataclass(frozen=True)
class Effect:
    """A call of an application that took effect.

    Attributes:
        key: The idempotency key.
        body: The body.
        request_id: The identifier of the request.
    """

    key: str
    body: bytes
    request_id: str


class ApplicationModel:
    """A plain service.

    Attributes:
        name: Its name.
        seconds: Seconds that a call takes.
        ledger: Every call that took effect, in order.
    """

    def __init__(self, name: str, seconds: float = 0.05) -> None:
        """Start the service.

        Args:
            name: Its name.
            seconds: Seconds that a call takes.
        """
        self.name = name
        self.seconds = seconds
        self.boot = f'{name}-{uuid.uuid4().hex[:6]}'
        self.started = clock.read_monotonic()
        self.ledger: list[Effect] = []
        self.running = 0
        self.lost_answers = 0
        self.down = False

    def call(self, effect: Effect) -> bytes:
        """Run a call.

        Args:
            effect: What the call does; the key is ignored.

        Returns:
            The answer.

        Raises:
            ConnectionLostError: If the answer is lost.
        """
        self.ledger.append(effect)
        self.running += 1
        try:
            gevent.sleep(self.seconds)
        finally:
            self.running -= 1
        if self.lost_answers:
            self.lost_answers -= 1
            raise error.ConnectionLostError('answer lost', 'read', self.name)
        number = len(self.ledger)
        return b'{"served_by":"%s","number":%d}' % (self.name.encode(), number)

    def is_down(self) -> bool:
        """Tell whether it refuses connections.

        Returns:
            Whether it is down.
        """
        return self.down

    def report(self) -> fleet.Report:
        """Report the load.

        Returns:
            The report.
        """
        uptime = clock.read_monotonic() - self.started
        return fleet.Report(self.boot, uptime, self.running)
