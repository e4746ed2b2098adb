"""The stand-in for the platform, served over HTTP."""

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
    """One object."""

    def __init__(self, object_store: store.Store) -> None:
        """Serve a store.

        Args:
            object_store: The store.
        """
        self._store = object_store

    def on_get(self, req, resp, kind: str, name: str) -> None:
        """Read the object.

        Args:
            req: The request.
            resp: The response.
            kind: The kind.
            name: The name.
        """
        found = self._store.read(kind, name)
        _answer(resp, found)
        if not found.version:
            resp.status = falcon.HTTP_404

    def on_put(self, req, resp, kind: str, name: str) -> None:
        """Write the object.

        Args:
            req: The request.
            resp: The response.
            kind: The kind.
            name: The name.
        """
        body = req.bounded_stream.read().decode()
        version = req.get_param_as_int('version', required=True)
        _answer(resp, self._store.write(kind, name, body, version))

    def on_delete(self, req, resp, kind: str, name: str) -> None:
        """Remove the object.

        Args:
            req: The request.
            resp: The response.
            kind: The kind.
            name: The name.
        """
        version = req.get_param_as_int('version', required=True)
        self._store.remove(kind, name, version)
        resp.text = '{}'


class KindResource:
    """All objects of a kind."""

    def __init__(self, object_store: store.Store) -> None:
        """Serve a store.

        Args:
            object_store: The store.
        """
        self._store = object_store

    def on_get(self, req, resp, kind: str) -> None:
        """List the objects.

        Args:
            req: The request.
            resp: The response.
            kind: The kind.
        """
        prefix = req.get_param('prefix', default='')
        _answer(resp, self._store.list_objects(kind, prefix))


class WatchResource:
    """The events of a kind."""

    def __init__(self, object_store: store.Store) -> None:
        """Serve a store.

        Args:
            object_store: The store.
        """
        self._store = object_store

    def on_get(self, req, resp, kind: str) -> None:
        """Wait for events.

        Args:
            req: The request.
            resp: The response.
            kind: The kind.
        """
        after = req.get_param_as_int('after', required=True)
        seconds = req.get_param_as_float('seconds', required=True)
        _answer(resp, self._store.watch(kind, after, seconds))


class MachineResource:
    """The list of machines."""

    def __init__(self, object_store: standin_store.MemoryStore) -> None:
        """Serve a store.

        Args:
            object_store: The store.
        """
        self._store = object_store

    def on_get(self, req, resp) -> None:
        """List the machines.

        Args:
            req: The request.
            resp: The response.
        """
        _answer(resp, self._store.list_machines())

    def on_put(self, req, resp) -> None:
        """Set the machines.

        Args:
            req: The request.
            resp: The response.
        """
        body = req.bounded_stream.read()
        kind = tuple[store.Machine, ...]
        self._store.replace_machines(codec.decode_json(body, kind))
        resp.text = '{}'


class FaultResource:
    """The faults that the stand-in shows, and the calls that it counted."""

    def __init__(self, object_store: standin_store.MemoryStore) -> None:
        """Serve a store.

        Args:
            object_store: The store.
        """
        self._store = object_store

    def on_get(self, req, resp) -> None:
        """Tell the calls by method.

        Args:
            req: The request.
            resp: The response.
        """
        _answer(resp, dict(self._store.calls))

    def on_put(self, req, resp) -> None:
        """Set the faults.

        Args:
            req: The request.
            resp: The response.
        """
        body = req.bounded_stream.read()
        faults = codec.decode_json(body, standin_store.Faults)
        self._store.faults = faults
        self._store.mark_down(faults.down)
        resp.text = '{}'


def make_app(object_store: standin_store.MemoryStore) -> falcon.App:
    """Make the application that serves a store.

    Args:
        object_store: The store.

    Returns:
        The WSGI application.
    """
    app = falcon.App()
    app.add_error_handler(error.PlatformError, _answer_error)
    app.add_route('/objects/{kind}/{name}', ObjectResource(object_store))
    app.add_route('/objects/{kind}', KindResource(object_store))
    app.add_route('/watch/{kind}', WatchResource(object_store))
    app.add_route('/machines', MachineResource(object_store))
    app.add_route('/faults', FaultResource(object_store))
    return app


def _answer(resp, record: object) -> None:
    resp.data = codec.encode_json(record)
    resp.content_type = falcon.MEDIA_JSON


def _answer_error(req, resp, fault: error.PlatformError, params) -> None:
    resp.status = _STATUS_BY_ERROR[type(fault)]
    resp.text = fault.reason
