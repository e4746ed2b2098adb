"""HTTP interface of the in-memory object store."""

import types

import falcon

from pimentoway.core import codec, error
from pimentoway.objects import store
from pimentoway.standin import store as standin_store

_STATUS_BY_ERROR = types.MappingProxyType(
    {
        error.PlatformConflictError: falcon.HTTP_409,
        error.PlatformRefusedError: falcon.HTTP_400,
        error.PlatformUnavailableError: falcon.HTTP_503,
        error.PlatformAmbiguousError: falcon.HTTP_500,
        error.WatchExpiredError: falcon.HTTP_410,
    }
)


class ObjectResource:
    """Reads, writes and removes one object."""

    def __init__(self, object_store: store.Store) -> None:
        """Serve an object store.

        Args:
            object_store: The store.
        """
        self._store = object_store

    def on_get(self, req, resp, kind: str, name: str) -> None:
        """Send the object, with status 404 if there is none.

        Args:
            req: The request.
            resp: The response.
            kind: The kind of the object.
            name: Its name within the kind.
        """
        stored = self._store.read(kind, name)
        _send_json(resp, stored)
        if not stored.version:
            resp.status = falcon.HTTP_404

    def on_put(self, req, resp, kind: str, name: str) -> None:
        """Write the object if it still has the expected version.

        Args:
            req: The request.
            resp: The response.
            kind: The kind of the object.
            name: Its name within the kind.
        """
        body = req.bounded_stream.read().decode()
        version = req.get_param_as_int('version', required=True)
        _send_json(resp, self._store.write(kind, name, body, version))

    def on_delete(self, req, resp, kind: str, name: str) -> None:
        """Remove the object if it still has the expected version.

        Args:
            req: The request.
            resp: The response.
            kind: The kind of the object.
            name: Its name within the kind.
        """
        version = req.get_param_as_int('version', required=True)
        self._store.remove(kind, name, version)
        resp.text = '{}'


class KindResource:
    """Lists the objects of a kind."""

    def __init__(self, object_store: store.Store) -> None:
        """Serve an object store.

        Args:
            object_store: The store.
        """
        self._store = object_store

    def on_get(self, req, resp, kind: str) -> None:
        """List the objects whose names start with ``prefix``.

        Args:
            req: The request.
            resp: The response.
            kind: The kind of the objects.
        """
        prefix = req.get_param('prefix', default='')
        _send_json(resp, self._store.list_objects(kind, prefix))


class WatchResource:
    """Serves watches of a kind."""

    def __init__(self, object_store: store.Store) -> None:
        """Serve an object store.

        Args:
            object_store: The store.
        """
        self._store = object_store

    def on_get(self, req, resp, kind: str) -> None:
        """Wait up to ``seconds`` for changes after the revision ``after``.

        Args:
            req: The request.
            resp: The response.
            kind: The kind of the objects.
        """
        after = req.get_param_as_int('after', required=True)
        seconds = req.get_param_as_float('seconds', required=True)
        _send_json(resp, self._store.watch(kind, after, seconds))


class MachineResource:
    """Lists and replaces the VMs."""

    def __init__(self, object_store: standin_store.MemoryStore) -> None:
        """Serve an object store.

        Args:
            object_store: The store.
        """
        self._store = object_store

    def on_get(self, req, resp) -> None:
        """List the VMs.

        Args:
            req: The request.
            resp: The response.
        """
        _send_json(resp, self._store.list_machines())

    def on_put(self, req, resp) -> None:
        """Replace the list of VMs by the JSON list in the body.

        Args:
            req: The request.
            resp: The response.
        """
        body = req.bounded_stream.read()
        machines_type = tuple[store.Machine, ...]
        self._store.replace_machines(codec.decode_json(body, machines_type))
        resp.text = '{}'


class FaultResource:
    """Sets the injected faults and serves the call counts."""

    def __init__(self, object_store: standin_store.MemoryStore) -> None:
        """Serve an object store.

        Args:
            object_store: The store.
        """
        self._store = object_store

    def on_get(self, req, resp) -> None:
        """Send the number of calls by method.

        Args:
            req: The request.
            resp: The response.
        """
        _send_json(resp, dict(self._store.call_count_by_method))

    def on_put(self, req, resp) -> None:
        """Replace all faults; those that the body omits are off.

        Args:
            req: The request.
            resp: The response.
        """
        body = req.bounded_stream.read()
        faults = codec.decode_json(body, standin_store.Faults)
        self._store.faults = faults
        self._store.set_down(faults.down)
        resp.text = '{}'


def make_app(object_store: standin_store.MemoryStore) -> falcon.App:
    """Create the web application of an object store.

    Args:
        object_store: The store.

    Returns:
        The WSGI application.
    """
    app = falcon.App()
    app.add_error_handler(error.PlatformError, _send_error)
    app.add_route('/objects/{kind}/{name}', ObjectResource(object_store))
    app.add_route('/objects/{kind}', KindResource(object_store))
    app.add_route('/watch/{kind}', WatchResource(object_store))
    app.add_route('/machines', MachineResource(object_store))
    app.add_route('/faults', FaultResource(object_store))
    return app


def _send_json(resp, record: object) -> None:
    resp.data = codec.encode_json(record)
    resp.content_type = falcon.MEDIA_JSON


def _send_error(req, resp, fault: error.PlatformError, params) -> None:
    resp.status = _STATUS_BY_ERROR[type(fault)]
    resp.text = fault.reason
