"""The command line of the stand-ins for the platform and for back ends."""

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

_MAX_CONNECTIONS = 4000
_STALL_SECONDS = 120
_DEFAULT_CALL_SECONDS = 0.05
_TYPE_BY_TRAIT = types.MappingProxyType(
    {field.name: field.type for field in dataclasses.fields(model.Traits)},
)


class PlatformCommand(command.Command):
    """Runs an object service in memory as stand-in for the platform."""

    name = 'platform'
    description = 'Runs a stand-in for the platform.'
    arguments = [
        helpers.argument('address', 'The IP address and port to listen on.')
    ]

    def handle(self) -> int:
        """Serve until the process is ended.

        Returns:
            The exit status, 0.
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
        helpers.argument('address', 'The IP address and port to listen on.'),
        helpers.argument(
            'traits',
            'Traits of the engine as name=value, such as gap=0.01.',
            True,
            True,
        ),
    ]

    def handle(self) -> int:
        """Serve until the process is ended.

        Returns:
            The exit status, 0.
        """
        address = self.argument('address')
        traits = _parse_traits(self.argument('traits') or [])
        stand_in = model.EngineModel(address, traits)
        _make_server(address, engine.make_engine_app(stand_in)).serve_forever()
        return 0


class ApplicationCommand(command.Command):
    """Runs the stand-in for an application, a back end without a model."""

    name = 'application'
    description = 'Runs a stand-in for a plain service.'
    arguments = [
        helpers.argument('address', 'The IP address and port to listen on.'),
        helpers.argument(
            'seconds',
            'The seconds that each call takes, 0.05 by default.',
            True,
        ),
    ]

    def handle(self) -> int:
        """Serve until the process is ended.

        Returns:
            The exit status, 0.
        """
        address = self.argument('address')
        seconds = float(self.argument('seconds') or _DEFAULT_CALL_SECONDS)
        stand_in = model.ApplicationModel(address, seconds)
        _make_server(
            address,
            engine.make_application_app(stand_in),
        ).serve_forever()
        return 0


def run() -> int:
    """Run the stand-in that the arguments of the process name.

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
        _MAX_CONNECTIONS,
        _STALL_SECONDS,
    )


def _parse_traits(arguments: list[str]) -> model.Traits:
    traits = {}
    for argument in arguments:
        name, _, text = argument.partition('=')
        trait_type = _TYPE_BY_TRAIT[name]
        traits[name] = text == 'yes' if trait_type is bool else trait_type(text)
    return model.Traits(**traits)
