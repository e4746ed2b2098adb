"""The stand-in for the platform, served over HTTP."""

import falcon

from pimentoway.core import codec, error
from pimentoway.platform import store
from pimentoway.standin import store as standin_store

_STATUS_BY_ERROR = {
    error.PlatformConflictError: falcon.HTTP_409,
    error.PlatformRefusedError: falcon.HTTP_400,
    error.PlatformUnavailableError: falcon.HTTP_503,
    error.PlatformAmbiguousError: falcon.HTTP_500,
    error.WatchExpiredError: falcon.HTTP_410,
}


class ObjectResource:
    """One object."""

    def __init__(self, objects: store.Store) -> None:
        """Serve a store.

        Args:
            objects: The store.
        """
        self._objects = objects

    def on_get(self, req, resp, kind: str, name: str) -> None:
        """Read the object.

        Args:
            req: The request.
            resp: The response.
            kind: The kind.
            name: The name.
        """
        found = self._objects.read(kind, name)
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
        _answer(resp, self._objects.write(kind, name, body, version))

    def on_delete(self, req, resp, kind: str, name: str) -> None:
        """Remove the object.

        Args:
            req: The request.
            resp: The response.
            kind: The kind.
            name: The name.
        """
        version = req.get_param_as_int('version', required=True)
        self._objects.remove(kind, name, version)
        resp.text = '{}'


class KindResource:
    """All objects of a kind."""

    def __init__(self, objects: store.Store) -> None:
        """Serve a store.

        Args:
            objects: The store.
        """
        self._objects = objects

    def on_get(self, req, resp, kind: str) -> None:
        """List the objects.

        Args:
            req: The request.
            resp: The response.
            kind: The kind.
        """
        prefix = req.get_param('prefix', default='')
        _answer(resp, self._objects.list_objects(kind, prefix))


class WatchResource:
    """The events of a kind."""

    def __init__(self, objects: store.Store) -> None:
        """Serve a store.

        Args:
            objects: The store.
        """
        self._objects = objects

    def on_get(self, req, resp, kind: str) -> None:
        """Wait for events.

        Args:
            req: The request.
            resp: The response.
            kind: The kind.
        """
        after = req.get_param_as_int('after', required=True)
        seconds = req.get_param_as_float('seconds', required=True)
        _answer(resp, self._objects.watch(kind, after, seconds))


class MachineResource:
    """The list of machines."""

    def __init__(self, objects: standin_store.MemoryStore) -> None:
        """Serve a store.

        Args:
            objects: The store.
        """
        self._objects = objects

    def on_get(self, req, resp) -> None:
        """List the machines.

        Args:
            req: The request.
            resp: The response.
        """
        _answer(resp, self._objects.list_machines())

    def on_put(self, req, resp) -> None:
        """Set the machines.

        Args:
            req: The request.
            resp: The response.
        """
        body = req.bounded_stream.read()
        kind = tuple[store.Machine, ...]
        self._objects.set_machines(codec.decode_json(body, kind))
        resp.text = '{}'


class FaultResource:
    """The faults that the stand-in shows, and the calls that it counted."""

    def __init__(self, objects: standin_store.MemoryStore) -> None:
        """Serve a store.

        Args:
            objects: The store.
        """
        self._objects = objects

    def on_get(self, req, resp) -> None:
        """Tell the calls by method.

        Args:
            req: The request.
            resp: The response.
        """
        _answer(resp, dict(self._objects.calls))

    def on_put(self, req, resp) -> None:
        """Set the faults.

        Args:
            req: The request.
            resp: The response.
        """
        body = req.bounded_stream.read()
        faults = codec.decode_json(body, standin_store.Faults)
        self._objects.faults = faults
        self._objects.set_down(faults.down)
        resp.text = '{}'


def make_app(objects: standin_store.MemoryStore) -> falcon.App:
    """Make the application that serves a store.

    Args:
        objects: The store.

    Returns:
        The WSGI application.
    """
    app = falcon.App()
    app.add_error_handler(error.PlatformError, _answer_error)
    app.add_route('/objects/{kind}/{name}', ObjectResource(objects))
    app.add_route('/objects/{kind}', KindResource(objects))
    app.add_route('/watch/{kind}', WatchResource(objects))
    app.add_route('/machines', MachineResource(objects))
    app.add_route('/faults', FaultResource(objects))
    return app


def _answer(resp, record: object) -> None:
    resp.data = codec.encode_json(record)
    resp.content_type = falcon.MEDIA_JSON


def _answer_error(req, resp, fault: error.PlatformError, params) -> None:
    resp.status = _STATUS_BY_ERROR[type(fault)]
    resp.text = fault.reason
