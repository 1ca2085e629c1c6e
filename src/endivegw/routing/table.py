"""Look up of routes and client accounts in one version of the configuration."""

from __future__ import annotations

import random

from endivegw.decisions.warm_up import WarmUpLimits
from endivegw.routing.model import (
    CallerLimits,
    ClientAccount,
    FleetConfiguration,
    Route,
    ServiceKind,
)
from endivegw.types import ClientAccountName

__all__ = ["RoutingTable"]


class RoutingTable:
    """Look up routes by host and path, and client accounts by key."""

    def __init__(self, configuration: FleetConfiguration) -> None:
        self.configuration = configuration
        self._routes: dict[tuple[str, str], Route] = {
            (route.host, route.prefix): route for route in configuration.routes
        }
        self._accounts: dict[str, ClientAccount] = {
            key: account for account in configuration.accounts for key in account.keys
        }

    @property
    def version(self) -> int:
        """Return the configuration's version."""
        return self.configuration.version

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers' requests."""
        return self.configuration.limits

    def needs_key(self, route: Route) -> bool:
        """Return whether requests of a route must carry a client account's key."""
        return bool(self.configuration.accounts) and not route.public

    def route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that matches the path.

        :param path: path without the query.
        """
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            found = self._routes.get((host, path[: end + 1]))
            if found is not None:
                return found
        return None

    def account(self, key: str) -> ClientAccount | None:
        """Return the client account that a key belongs to."""
        return self._accounts.get(key)

    def service(self, route: Route, rng: random.Random) -> str:
        """Draw the service for one request by weight."""
        if len(route.services) == 1:
            return route.services[0].service
        weights = [share.weight for share in route.services]
        return rng.choices(route.services, weights)[0].service

    def service_kind(self, service: str) -> ServiceKind:
        """Return the kind of a service's targets."""
        return self.configuration.services.get(service, ServiceKind.PLAIN)

    def copy_s_per_token(self, service: str) -> float | None:
        """Return the time to copy a cached token, or None if targets cannot copy."""
        return self.configuration.copy_s_per_token.get(service)

    def warm_up_limits(self, service: str) -> WarmUpLimits | None:
        """Return how a service's targets warm up, or None if they need not."""
        return self.configuration.warm_ups.get(service)

    def prepaid_tokens(self) -> dict[ClientAccountName, int]:
        """Return the budgets by client account."""
        return {
            account.name: account.prepaid_tokens
            for account in self.configuration.accounts
            if account.prepaid_tokens is not None
        }
