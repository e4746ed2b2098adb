"""The store turns two of six machines away while a key is revoked.

The two are those that watch the store at that time. The other four reach the
store, which serves them, all the while.
"""

import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standin  # noqa: E402

TROUBLE = os.environ.get('TROUBLE') != '0'
NODES = 6
#: The longest impairment of this kind in the site file, and its share.
AWAY_SECONDS = 9.0
AWAY_SHARE = 0.35
#: ``ConfigApplyMs`` and ``MaxStretchMs`` of the sheet.
APPLY_SECONDS = 2.0
STRETCH_SECONDS = 5.0
REVOKED = 'key-revoked'


def send_all(site, served, end):
    """Send a request with the revoked key to each of some nodes, repeatedly.

    Args:
        site: The site.
        served: The nodes that the store serves.
        end: The monotonic time at which sending ends.

    Returns:
        The node, the time and the status of each request.
    """
    sent = []
    number = 0
    while time.monotonic() < end:
        for node in served:
            number += 1
            at = time.monotonic()
            status = standin.call(
                node.front,
                f'{number:016x}',
                'safe',
                site.record,
                key=REVOKED,
            )
            sent.append((node.name, at, status, f'{number:016x}'))
        time.sleep(0.2)
    return sent


def main() -> int:
    """Play the case.

    Returns:
        1 if requests with the revoked key ran too late, else 0.
    """
    site = standin.Site(FOLDER)
    try:
        configuration = standin.make_configuration(6)
        configuration['Tenants'][0]['ApiKeys'] = [standin.KEY, REVOKED]
        site.store.put('config', 'main', configuration)
        engine = standin.Engine('i-a', site.store, site.record)
        site.start_nodes(*['z1'] * NODES)
        # Watches of the start end after 20 s at the latest.
        time.sleep(25)
        watching = [
            node
            for node in site.nodes
            if site.store.watching_by_address[node.store]
        ]
        watching = watching[: int(NODES * AWAY_SHARE)]
        served = [node for node in site.nodes if node not in watching]
        site.record.write(f'watch the store: {[n.name for n in watching]}')
        began = time.monotonic()
        if TROUBLE:
            site.store.turn_away(*(node.store for node in watching))
            site.record.write('the store turns them away')
        threading.Timer(AWAY_SECONDS, site.store.turn_away).start()
        time.sleep(0.3)
        site.store.put(
            'config',
            'main',
            {
                **configuration,
                'Version': 9,
                'Tenants': [{'Name': 'studio', 'ApiKeys': [standin.KEY]}],
            },
        )
        confirmed = time.monotonic()
        site.record.write('the configuration without the key is confirmed')
        sent = send_all(site, served, began + AWAY_SECONDS + 4)
    finally:
        site.close()
    bound = confirmed + APPLY_SECONDS + STRETCH_SECONDS
    ran = {attempt for attempt, _ in engine.runs}
    late = [
        f'{name} at {at - confirmed:.2f} s'
        for name, at, status, attempt in sent
        if at > bound and attempt in ran
    ]
    site.record.write(f'ran with the revoked key beyond the bound: {late}')
    if not (ran and sent):
        return 2
    return 1 if late else 0


if __name__ == '__main__':
    try:
        sys.exit(main())
    except RuntimeError as fault:
        print(fault)
        sys.exit(2)
