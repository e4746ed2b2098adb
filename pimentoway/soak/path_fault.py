"""Faults of a soak test that concern the paths between nodes and engines."""

import dataclasses

import gevent

from pimentoway.soak import fault, path_proxy, stage

CUT_SCOPES = ('node', 'zone', 'broker')

# Paths that end in order are left out: the end of an answer that has neither a
# length nor chunks could not be told from theirs.
CUT_EFFECTS = ('reset', 'kept', 'hanging')


@dataclasses.dataclass(frozen=True)
class PathCut(fault.Fault):
    """Nodes are cut from all engines.

    Attributes:
        scope: Which nodes, one of `CUT_SCOPES`: the target, all of its failure
            domain, or the one that has the broker.
        how: What happens to their connections, one of `CUT_EFFECTS`.
    """

    scope: str = 'node'
    how: str = 'reset'


@dataclasses.dataclass(frozen=True)
class EngineSilent(fault.Fault):
    """An engine neither reads nor answers, and then goes on.

    Attributes:
        acknowledges: Whether its kernel still accepts connections and bytes.
    """

    acknowledges: bool = True


@fault.inject.register
def _cut_paths(planned: PathCut, testbed: stage.Testbed) -> None:
    settings = testbed.select_node(planned.target).node.settings
    names = {settings.name}
    if planned.scope == 'broker':
        names = {testbed.find_broker()}
    elif planned.scope == 'zone':
        names = {
            node.settings.name
            for node in testbed.list_nodes()
            if node.settings.zone == settings.zone
        }
    testbed.cut_nodes(
        frozenset(names), path_proxy.Cut(planned.how), planned.seconds
    )


@fault.inject.register
def _silence_engine(planned: EngineSilent, testbed: stage.Testbed) -> None:
    cuts = path_proxy.Cut
    how = cuts.silent if planned.acknowledges else cuts.hanging
    paths = testbed.select_engine(planned.target).paths
    for path in paths:
        path.cut(how)
    gevent.sleep(planned.seconds)
    for silent in paths:
        silent.mend(how)
