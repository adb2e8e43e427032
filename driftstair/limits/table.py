"""All routes of one service file, compiled for one node."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from driftstair.limits.budgets import Tokens
from driftstair.limits.limited import NONE_ADDED, Limited
from driftstair.limits.narrow import Rules, no_fleet, rules_of
from driftstair.limits.routes import Asked, Pattern, Routes
from driftstair.service.schema import Service
from lichenspring import interface as api

log = logging.getLogger(__name__)


class RequestTable(Protocol):
    """What a node asks of routes."""

    kind: type[Limited]
    source: str  # of the file, for the log
    rules: list[Rules]  # of the file, by number

    def asked(self, method: bytes, path: bytes, fields: Mapping[bytes, bytes]) -> Asked: ...

    def find(self, asked: Asked) -> Rules | None: ...

    def serves(self, path: bytes) -> bool: ...

    def limited(
        self, module: api.DecisionModule, settings: api.Settings, clock: Callable[[], int]
    ) -> Limited: ...


def _as_it_is(module: api.DecisionModule) -> api.DecisionModule:
    return module


class Table:
    """`find` tells a request's rules; `limited` puts them round a decision module."""

    kind = Limited

    def __init__(self, service: Service, settings: api.Settings, source: str = "") -> None:
        self.source = source  # file and hash, for the log
        self.fleet: Callable[[str], Tokens] = no_fleet
        self.around: Callable[[api.DecisionModule], api.DecisionModule] = _as_it_is
        self._tally_every = service.tally.every if service.tally is not None else 0  # ns
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

    def limited(
        self, module: api.DecisionModule, settings: api.Settings, clock: Callable[[], int],
        added: Mapping[int, Rules] = NONE_ADDED,
    ) -> Limited:  # fmt: skip
        """`clock`: Unix time in ns, which lines of the log from several nodes are put together by; `added`:
        routes beside the file's."""
        module = self.around(module)
        if self._tally_every:
            from driftstair.tally.tally import Tally

            def say(line: dict[str, Any]) -> None:
                log.info("tally %s", json.dumps({"at_ms": clock() // 1_000_000, **line}))

            module = Tally(module, settings, self._tally_every, say)
        return Limited(module, settings, self.rules, self.fleet, added)
