"""Simulated back ends: a model engine and a plain application.

The engine simulates batching, a prefix cache and cold starts. All delays are
gevent sleeps, so it runs in real time behind HTTP and on the paused clock in
tests. Each back end keeps a ledger of the work it ran, which tests check.
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

#: A prompt that contains this text crashes the engine that runs it.
CRASH_PROMPT = 'crash-the-engine'

#: Past load reports kept, from which a delayed report is chosen.
MAX_PAST_REPORTS = 200

#: Runs kept for resumption; the oldest are dropped first.
MAX_RESUMABLE_RUNS = 2000


@dataclasses.dataclass
class Traits:
    """Performance and injected faults of a simulated engine.

    Attributes:
        slots: Maximum number of runs in the batch.
        gap: Seconds between tokens of a run on an idle engine.
        prefill: Seconds per prompt token that isn't cached.
        cold_seconds: Length of a cold start, in seconds.
        cold_slots: Maximum number of concurrent runs during a cold start;
            one more crashes the engine.
        cold_factor: Factor by which token gaps grow during a cold start.
        restart_seconds: Seconds of downtime after a crash.
        report_lag: Age of the load in its reports, in seconds.
        cached_blocks: Capacity of the prefix cache, in blocks.
        slowness: Factor by which all work slows down, for a straggler.
        blank: Whether every token is empty.
        failing: Whether every submission fails with status 500.
        frozen: Whether runs stop producing tokens without ending.
        cut_after: The number of tokens after which one stream is dropped,
            once; 0 for never.
        foreign_after: Token number whose event is replaced by one of another
            request, once; 0 for never. Only ``network`` simulates it.
        doubling: Whether a resumed stream repeats the last token.
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
    """The lifecycle states of a run."""

    waiting = 'waiting'
    running = 'running'
    done = 'done'
    cancelled = 'cancelled'
    crashed = 'crashed'


#: The states of a run that has not ended.
LIVE_STATES = frozenset((RunState.waiting, RunState.running))


@dataclasses.dataclass
class Run:
    """The execution of one request on an engine.

    Attributes:
        run_id: The identifier of the request.
        fingerprint: Start of the SHA-256 digest of the prompt, in hex; it
            makes the tokens of each prompt recognizable.
        prompt: The prompt, in UTF-8.
        output_tokens: The number of tokens to generate.
        arrived: Monotonic time of submission, in seconds.
        tokens: The tokens generated so far.
        started: Monotonic time at which it joined the batch; 0 while waiting.
        state: The state of the run.
        changed: Pulsed on every new token and change of state.
    """

    run_id: str
    fingerprint: str
    prompt: bytes
    output_tokens: int
    arrived: float = 0
    tokens: list[str] = dataclasses.field(default_factory=list)
    started: float = 0
    state: RunState = RunState.waiting
    changed: gevent_event.Event = dataclasses.field(
        default_factory=gevent_event.Event,
    )

    def notify(self) -> None:
        """Wake all readers of the run."""
        self.changed.set()
        self.changed.clear()


class EngineModel:
    """A simulated model engine.

    Attributes:
        name: The name of the engine.
        traits: Its performance and faults.
        ledger: Every run ever submitted, in order, also across crashes.
        crashes: The number of crashes.
        prefill_tokens: The number of prompt tokens computed, that is, not
            found in the prefix cache.
        peak_cold_runs: The most concurrent runs seen during a cold start.
    """

    def __init__(self, name: str, traits: Traits | None = None) -> None:
        """Start the engine with a cold start.

        Args:
            name: The name of the engine.
            traits: Its performance and faults; the defaults if omitted.
        """
        self.name = name
        self.traits = traits or Traits()
        self.ledger: list[Run] = []
        self.crashes = 0
        self.prefill_tokens = 0
        self.peak_cold_runs = 0
        self.down_until: float = 0
        self.draining = False
        self._boot_numbers = itertools.count(1)
        self._cached_prefixes: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._past_reports: collections.deque[
            tuple[float, fleet.LoadReport]
        ] = collections.deque(maxlen=MAX_PAST_REPORTS)
        self.start()

    def start(self, cold: bool = True) -> None:
        """Start under a new boot identifier with no runs and an empty cache.

        Args:
            cold: Whether a cold start comes first.
        """
        self.boot = (
            f'{self.name}-{next(self._boot_numbers)}-{uuid.uuid4().hex[:6]}'
        )
        self.started = clock.read_monotonic()
        self.cold_until = self.started
        if cold:
            self.cold_until += self.traits.cold_seconds
        self.runs_by_id: dict[str, Run] = {}
        self._live_runs: list[Run] = []
        self._cached_prefixes.clear()
        self._past_reports.clear()

    def begin_cold_start(self) -> None:
        """Begin a cold start under the same boot identifier."""
        self.cold_until = clock.read_monotonic() + self.traits.cold_seconds

    def is_cold(self) -> bool:
        """Check for a cold start in progress.

        Returns:
            Whether only ``cold_slots`` runs are safe at present.
        """
        return clock.read_monotonic() < self.cold_until

    def is_down(self) -> bool:
        """Check for downtime after a crash.

        Returns:
            Whether the engine refuses connections.
        """
        return clock.read_monotonic() < self.down_until

    def crash(self) -> None:
        """Abort all runs, stay down for a while, then do a cold start."""
        self.crashes += 1
        for run in list(self.runs_by_id.values()):
            if run.state in LIVE_STATES:
                run.state = RunState.crashed
                run.notify()
        self.down_until = clock.read_monotonic() + self.traits.restart_seconds
        self.start()
        self.started = self.down_until
        self.cold_until = self.down_until + self.traits.cold_seconds

    def submit(self, run_id: str, prompt: bytes, output_tokens: int) -> Run:
        """Start a run, or queue it while the batch is full.

        Args:
            run_id: The identifier of the request.
            prompt: The prompt, in UTF-8.
            output_tokens: The number of tokens to generate.

        Returns:
            The run; it continues without a reader.

        Raises:
            FailedError: If the ``failing`` fault is on.
        """
        fingerprint = hashlib.sha256(prompt).hexdigest()[:8]
        arrived = clock.read_monotonic()
        run = Run(run_id, fingerprint, prompt, output_tokens, arrived)
        self.ledger.append(run)
        if self.traits.failing:
            run.state = RunState.done
            raise error.FailedError('status 500', 'run', self.name)
        self.runs_by_id[run_id] = run
        if not self._is_full():
            run.state = RunState.running
        self._live_runs.append(run)
        while len(self.runs_by_id) > MAX_RESUMABLE_RUNS:
            self.runs_by_id.pop(next(iter(self.runs_by_id)))
        gevent.spawn(self._generate, run)
        return run

    def read(
        self, run: Run, after: int
    ) -> collections.abc.Iterator[tuple[int, str | None]]:
        """Stream the tokens of a run, waiting for new ones.

        Args:
            run: The run.
            after: The number of the last token already received; 0 for none.

        Yields:
            Number, from 1, and text of each token; at the end the next number
            and ``None``.

        Raises:
            ConnectionLostError: If the run was cancelled, or the engine
                crashed or dropped the stream.
        """
        position = max(after - self.traits.doubling, 0)
        while run.state in LIVE_STATES or position < len(run.tokens):
            if position == len(run.tokens):
                run.changed.wait()
                continue
            self._drop_stream_once(position)
            position += 1
            yield position, run.tokens[position - 1]
        if run.state is not RunState.done:
            raise error.ConnectionLostError(
                f'run {run.state.value}', 'read', self.name
            )
        yield position + 1, None

    def cancel(self, run_id: str) -> None:
        """Cancel a live run; ignore one that is unknown or has ended.

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
            Their number, without waiting runs.
        """
        return self._count_runs(RunState.running)

    def report(self) -> fleet.LoadReport:
        """Report the load with a delay of ``report_lag`` seconds.

        Returns:
            The run counts and drain flag of the past; boot and uptime are
            current.
        """
        now = clock.read_monotonic()
        current = fleet.LoadReport(
            boot=self.boot,
            uptime=now - self.started,
            running=self._count_runs(RunState.running),
            waiting=self._count_runs(RunState.waiting),
            draining=self.draining,
        )
        self._past_reports.append((now, current))
        delayed = current
        for reported_at, report in self._past_reports:
            if reported_at > now - self.traits.report_lag:
                break
            delayed = report
        return fleet.LoadReport(
            boot=self.boot,
            uptime=current.uptime,
            running=delayed.running,
            waiting=delayed.waiting,
            draining=delayed.draining,
        )

    def _count_runs(self, state: RunState) -> int:
        return sum(1 for run in self._live_runs if run.state is state)

    def _generate(self, run: Run) -> None:
        self._wait_for_slot(run)
        if run.state not in LIVE_STATES:
            self._remove_live_run(run)
            return
        run.state = RunState.running
        run.started = clock.read_monotonic()
        self._check_cold_load()
        gevent.sleep(self._run_prefill(run))
        if (
            CRASH_PROMPT.encode() in run.prompt
            and run.state is RunState.running
        ):
            self.crash()
        while (
            run.state is RunState.running
            and len(run.tokens) < run.output_tokens
        ):
            gevent.sleep(self._compute_token_gap())
            self._add_token(run)
        if run.state is RunState.running:
            run.state = RunState.done
            run.notify()
        self._remove_live_run(run)

    def _remove_live_run(self, run: Run) -> None:
        # A crash has already emptied the list.
        self._live_runs = [
            other for other in self._live_runs if other is not run
        ]

    def _wait_for_slot(self, run: Run) -> None:
        while run.state is RunState.waiting and self._is_full():
            gevent.sleep(self.traits.gap)

    def _is_full(self) -> bool:
        return self._count_runs(RunState.running) >= self.traits.slots

    def _add_token(self, run: Run) -> None:
        if self.traits.frozen or run.state is not RunState.running:
            return
        number = len(run.tokens) + 1
        text = '' if self.traits.blank else f'{run.fingerprint}-{number} '
        run.tokens.append(text)
        run.notify()

    def _compute_token_gap(self) -> float:
        traits = self.traits
        load_factor = 1 + self._count_runs(RunState.running) / traits.slots
        cold = traits.cold_factor if self.is_cold() else 1
        return traits.gap * load_factor * cold * traits.slowness

    def _run_prefill(self, run: Run) -> float:
        prefixes = request.digest_prefixes(run.prompt)
        hits = sum(1 for prefix in prefixes if prefix in self._cached_prefixes)
        for prefix in prefixes:
            self._cached_prefixes[prefix] = None
            self._cached_prefixes.move_to_end(prefix)
        while len(self._cached_prefixes) > self.traits.cached_blocks:
            self._cached_prefixes.popitem(last=False)
        tokens = len(run.prompt) // request.BYTES_PER_TOKEN
        saved = hits * request.PREFIX_BLOCK_BYTES // request.BYTES_PER_TOKEN
        computed = max(tokens - saved, 1)
        self.prefill_tokens += computed
        return computed * self.traits.prefill * self.traits.slowness

    def _check_cold_load(self) -> None:
        if not self.is_cold():
            return
        running = self._count_runs(RunState.running)
        self.peak_cold_runs = max(self.peak_cold_runs, running)
        if running > self.traits.cold_slots:
            self.crash()

    def _drop_stream_once(self, position: int) -> None:
        if self.traits.cut_after and position == self.traits.cut_after:
            self.traits.cut_after = 0
            raise error.ConnectionLostError('stream dropped', 'read', self.name)


@dataclasses.dataclass(frozen=True)
class ExecutedCall:
    """A call that an application executed.

    Attributes:
        key: The idempotency key; '' if the call has none.
        body: The body of the call.
        request_id: The identifier of the request.
    """

    key: str
    body: bytes
    request_id: str


class ApplicationModel:
    """A simulated application without slots or streaming.

    It ignores idempotency keys: a call sent twice takes effect twice.

    Attributes:
        name: The name of the application.
        seconds: Duration of a call, in seconds.
        ledger: Every executed call, in order.
        lost_answers: The number of next calls whose answer is lost after
            they took effect.
    """

    def __init__(self, name: str, seconds: float = 0.05) -> None:
        """Start the application.

        Args:
            name: The name of the application.
            seconds: Duration of a call, in seconds.
        """
        self.name = name
        self.seconds = seconds
        self.boot = f'{name}-{uuid.uuid4().hex[:6]}'
        self.started = clock.read_monotonic()
        self.ledger: list[ExecutedCall] = []
        self.running = 0
        self.lost_answers = 0
        self.down = False

    def call(self, executed_call: ExecutedCall) -> bytes:
        """Execute a call.

        Args:
            executed_call: The call; it enters the ledger before the answer.

        Returns:
            The body of the answer, in JSON.

        Raises:
            ConnectionLostError: If the answer is lost; the call took effect
                all the same.
        """
        self.ledger.append(executed_call)
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
        """Check whether the application refuses connections.

        Returns:
            The ``down`` attribute, which tests set.
        """
        return self.down

    def report(self) -> fleet.LoadReport:
        """Report the current load.

        Returns:
            The report, without a delay.
        """
        uptime = clock.read_monotonic() - self.started
        return fleet.LoadReport(self.boot, uptime, self.running)
