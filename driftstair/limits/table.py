"""All routes of one service file, compiled for one node."""

from __future__ import annotations

from collections.abc import Mapping

from driftstair.limits.limited import Limited
from driftstair.limits.narrow import Rules, rules_of
from driftstair.limits.routes import Asked, Pattern, Routes
from driftstair.service.schema import Service
from lichenspring import interface as api


class Table:
    """`find` tells a request's rules; `limited` puts them round a decision module."""

    kind = Limited

    def __init__(self, service: Service, settings: api.Settings, source: str = "") -> None:
        self.source = source  # file and hash, for the log
        self.routes = Routes(Pattern.of(route.match) for route in service.route)
        self.rules = [
            rules_of(route, index, settings.max_attempts) for index, route in enumerate(service.route)
        ]

    @staticmethod
    def asked(method: bytes, path: bytes, fields: Mapping[bytes, bytes]) -> Asked:
        """A request off the wire, in the terms of routes."""
        return Asked(
            fields[b"x-class"].decode("latin-1"), fields.get(b"x-tenant", b"").decode("latin-1"),
            method.decode("latin-1"), path.decode("latin-1"), fields,
            fields.get(b"x-key", b"").decode("latin-1"),
        )  # fmt: skip

    def find(self, asked: Asked) -> Rules | None:
        index = self.routes.find(asked)
        return None if index is None else self.rules[index]

    def serves(self, path: bytes) -> bool:
        return self.routes.serves(path.decode("latin-1"))

    def limited(self, module: api.Module, settings: api.Settings) -> Limited:
        return Limited(module, settings, self.rules)
