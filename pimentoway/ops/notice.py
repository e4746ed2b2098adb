"""The notices of back ends, and which back ends a node may use because of them.

A back end announces in its answers that it is leaving, or that it wants no
request from a node for some time. A notice belongs to the run of the back end
that gave it: the check compares the address and the start in the registry.
"""

import collections

from pimentoway.core import clock, deployment, log, registry
from pimentoway.ops import slot, view

#: The longest pause, in seconds, that is granted to a back end.
MAX_PAUSE_SECONDS = 600.0

#: The most leaving back ends that are kept, and the most pauses, each of a node
#: and a back end; the oldest is dropped first.
MAX_LEAVING = 4096
MAX_PAUSES = 65_536

_LOG = log.Log('notice')

_RunId = tuple[str, str, int]


class NoticeTable:
    """The notices that this node heard, or that were reported to its broker."""

    def __init__(self, registry_view: view.View) -> None:
        """Start without notices.

        Args:
            registry_view: The registry as this node knows it.
        """
        self._view = registry_view
        self._callbacks: list[view.Callback] = []
        # Of each leaving run, whether its entry has said so, too.
        self._was_draining_by_run: collections.OrderedDict[_RunId, bool] = (
            collections.OrderedDict()
        )
        # By node and run of the back end.
        self._end_by_pause: collections.OrderedDict[
            tuple[str, _RunId], float
        ] = collections.OrderedDict()

    def subscribe(self, callback: view.Callback) -> None:
        """Call a function after each notice of a back end that leaves.

        Args:
            callback: The function; it gets the kind of the back ends' records.
        """
        self._callbacks.append(callback)

    def note(self, requester: str, notice: slot.EngineNotice) -> bool:
        """Record a notice.

        Args:
            requester: The node to which the back end gave it.
            notice: The notice.

        Returns:
            Whether it changes which back ends may be used.
        """
        run_id = (notice.engine, notice.address, notice.born)
        is_new = notice.leaving and self._add_leaving(run_id)
        seconds = min(notice.pause_seconds, MAX_PAUSE_SECONDS)
        if seconds > 0:
            is_longer = self._extend_pause((requester, run_id), seconds)
            is_new = is_new or is_longer
        if is_new:
            _LOG.write(
                'back end wants no requests.',
                engine=notice.engine,
                address=notice.address,
                notice='leaving' if notice.leaving else 'pause',
                seconds=round(seconds, 3),
                stated=round(notice.pause_seconds, 3),
                heard_by=requester,
            )
        return is_new

    def update(self) -> None:
        """Apply a change of the registry view.

        The notice of a back end whose entry said that it is draining ends when
        the entry says that it is ready again.
        """
        for run_id, was_draining in list(self._was_draining_by_run.items()):
            engine = self._view.engines_by_name.get(run_id[0])
            if engine is None or _identify(engine) != run_id:
                continue
            if engine.draining:
                self._was_draining_by_run[run_id] = True
            elif was_draining:
                self._was_draining_by_run.pop(run_id)
                _LOG.write('back end is ready again.', engine=engine.name)

    def is_usable(self, engine: deployment.Engine) -> bool:
        """Tell whether a back end may get requests of any node.

        Args:
            engine: The back end.

        Returns:
            Whether it is neither leaving, by its entry or its notice, nor in
            an evacuated failure domain.
        """
        return self._view.is_usable(engine) and not self.is_leaving(engine)

    def is_leaving(self, engine: deployment.Engine) -> bool:
        """Tell whether a back end announced in an answer that it is leaving.

        Args:
            engine: The back end.

        Returns:
            Whether this run of it did.
        """
        return _identify(engine) in self._was_draining_by_run

    def allows(self, requester: str, engine: deployment.Engine) -> bool:
        """Tell whether a back end may get requests of a node.

        Args:
            requester: The node.
            engine: The back end.

        Returns:
            Whether it is usable and has not asked that node for a pause.
        """
        return self.is_usable(engine) and not self.measure_pause(
            requester, engine
        )

    def has_pauses(self) -> bool:
        """Tell whether any back end may want no requests from some node.

        Returns:
            Whether pauses are known; some of them may be over, but not all.
        """
        now = clock.read_monotonic()
        while self._end_by_pause:
            key, end = next(iter(self._end_by_pause.items()))
            if end > now:
                return True
            self._end_by_pause.pop(key)
        return False

    def measure_pause(self, requester: str, engine: deployment.Engine) -> float:
        """Measure how long a back end still wants no requests from a node.

        Args:
            requester: The node.
            engine: The back end.

        Returns:
            The seconds; 0 if it wants them.
        """
        end = self._end_by_pause.get((requester, _identify(engine)), 0)
        return max(0, end and end - clock.read_monotonic())

    def list_known(self, requester: str) -> tuple[slot.EngineNotice, ...]:
        """List the notices that concern a node, for another broker.

        Args:
            requester: The node.

        Returns:
            The notices of all back ends that leave, and of those that want
            no request from the node.
        """
        now = clock.read_monotonic()
        leaving = [
            slot.EngineNotice(*run_id, leaving=True)
            for run_id in self._was_draining_by_run
        ]
        pauses = [
            slot.EngineNotice(*run_id, pause_seconds=end - now)
            for (node, run_id), end in self._end_by_pause.items()
            if node == requester and end > now
        ]
        return (*leaving, *pauses)

    def _add_leaving(self, run_id: _RunId) -> bool:
        if run_id in self._was_draining_by_run:
            return False
        self._was_draining_by_run[run_id] = False
        if len(self._was_draining_by_run) > MAX_LEAVING:
            self._was_draining_by_run.popitem(last=False)
        for callback in self._callbacks:
            callback(registry.Kind.engines)
        return True

    def _extend_pause(self, key: tuple[str, _RunId], seconds: float) -> bool:
        end = clock.read_monotonic() + seconds
        if end <= self._end_by_pause.get(key, 0):
            return False
        self._end_by_pause[key] = end
        self._end_by_pause.move_to_end(key)
        if len(self._end_by_pause) > MAX_PAUSES:
            self._end_by_pause.popitem(last=False)
        return True


def _identify(engine: deployment.Engine) -> _RunId:
    return (engine.name, engine.address, engine.born)
