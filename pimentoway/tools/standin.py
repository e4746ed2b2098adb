"""The command line of the stand-ins for outside systems."""

import dataclasses
import types
from importlib import metadata

from cleo import application, helpers
from cleo.commands import command
from gevent import pywsgi

from pimentoway.core import serving
from pimentoway.parser import ini
from pimentoway.standin import engine, model, platform, store

#: The version of the program.
VERSION = metadata.version('pimentoway')

_CONNECTIONS = 4000
_STALL_SECONDS = 120
_CALL_SECONDS = 0.05
_FIELD_TYPES = types.MappingProxyType(
    {field.name: field.type for field in dataclasses.fields(model.Traits)},
)


class PlatformCommand(command.Command):
    """Runs the stand-in for the platform."""

    name = 'platform'
    description = 'Runs a stand-in for the platform.'
    arguments = [helpers.argument('address', 'The IP number and port.')]

    def handle(self) -> int:
        """Serve until the process ends.

        Returns:
            The exit status.
        """
        object_store = store.MemoryStore()
        _make_server(
            self.argument('address'),
            platform.make_app(object_store),
        ).serve_forever()
        return 0


class EngineCommand(command.Command):
    """Runs the stand-in for a model engine."""

    name = 'engine'
    description = 'Runs a stand-in for a model engine.'
    arguments = [
        helpers.argument('address', 'The IP number and port.'),
        helpers.argument('traits', 'Such as gap=0.01.', True, True),
    ]

    def handle(self) -> int:
        """Serve until the process ends.

        Returns:
            The exit status.
        """
        address = self.argument('address')
        traits = _parse_traits(self.argument('traits') or [])
        served = model.EngineModel(address, traits)
        _make_server(address, engine.make_engine_app(served)).serve_forever()
        return 0


class ApplicationCommand(command.Command):
    """Runs the stand-in for a plain service."""

    name = 'application'
    description = 'Runs a stand-in for a plain service.'
    arguments = [
        helpers.argument('address', 'The IP number and port.'),
        helpers.argument('seconds', 'Seconds that a call takes.', True),
    ]

    def handle(self) -> int:
        """Serve until the process ends.

        Returns:
            The exit status.
        """
        address = self.argument('address')
        seconds = float(self.argument('seconds') or _CALL_SECONDS)
        served = model.ApplicationModel(address, seconds)
        _make_server(
            address,
            engine.make_application_app(served),
        ).serve_forever()
        return 0


def run() -> int:
    """Run the command line of the stand-ins.

    Returns:
        The exit status.
    """
    program = application.Application(
        'pimentoway-standin',
        VERSION,
    )
    program.add(PlatformCommand())
    program.add(EngineCommand())
    program.add(ApplicationCommand())
    return program.run()


def _make_server(address: str, app: object) -> pywsgi.WSGIServer:
    host, _, port = ini.parse_address(address).rpartition(':')
    return serving.make_server(
        host,
        int(port),
        app,
        _CONNECTIONS,
        _STALL_SECONDS,
    )


def _parse_traits(words: list[str]) -> model.Traits:
    traits = {}
    for word in words:
        name, _, text = word.partition('=')
        kind = _FIELD_TYPES[name]
        traits[name] = text == 'yes' if kind is bool else kind(text)
    return model.Traits(**traits)
