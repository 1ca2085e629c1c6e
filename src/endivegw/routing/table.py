"""Find a request's route and account under one version of the configuration."""

from __future__ import annotations

import random

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
    """Look up routes by host and path, and accounts by key."""

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
        """Return what callers may send."""
        return self.configuration.limits

    def needs_key(self, route: Route) -> bool:
        """Return whether requests of a route must carry an account's key."""
        return bool(self.configuration.accounts) and not route.public

    def route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of the path.

        :param path: without a query.
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
        """Return the account that holds a key."""
        return self._accounts.get(key)

    def service(self, route: Route, rng: random.Random) -> str:
        """Return the service for one request, drawn by weight."""
        if len(route.services) == 1:
            return route.services[0].service
        weights = [share.weight for share in route.services]
        return rng.choices(route.services, weights)[0].service

    def service_kind(self, service: str) -> ServiceKind:
        """Return what the service's targets are."""
        return self.configuration.services.get(service, ServiceKind.PLAIN)

    def copy_s_per_token(self, service: str) -> float | None:
        """Return what copying a cached token takes, None where targets cannot."""
        return self.configuration.copy_s_per_token.get(service)

    def prepaid_tokens(self) -> dict[ClientAccountName, int]:
        """Return the budgets by account."""
        return {
            account.name: account.prepaid_tokens
            for account in self.configuration.accounts
            if account.prepaid_tokens is not None
        }
