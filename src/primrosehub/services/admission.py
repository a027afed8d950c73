"""Decide for which team a job or a quick request is accepted."""

from __future__ import annotations

import hashlib
import hmac
from contextlib import ExitStack

from primrosehub.core.errors import ErrorKind, HubError
from primrosehub.core.rules import Access, ForTeams, OpenToAll
from primrosehub.kernel import Kernel
from primrosehub.services.names.v1 import CONFIGURATION


class AdmissionService:
    """Check keys and access rules against the configuration in force."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    def start(self, stack: ExitStack) -> None:
        """Look up the configuration."""
        self._configuration = self._kernel.find(CONFIGURATION)

    def team_of_key(self, secret: str | None) -> str:
        """Return the team to which a key belongs; raise HubError."""
        self._require_trusted_configuration()
        if not secret:
            raise HubError(
                ErrorKind.UNAUTHENTICATED,
                "the key is missing; send it in the Primrosehub-Key header",
            )
        digest = hashlib.sha256(secret.encode()).hexdigest()
        key = self._configuration.current.keys.get(digest)
        if key is None or not hmac.compare_digest(key.sha256, digest):
            raise HubError(
                ErrorKind.UNAUTHENTICATED,
                "the key is unknown or was withdrawn; ask an operator for a new one",
            )
        return key.team

    def team_for(self, access: Access, secret: str | None, target: str) -> str:
        """Return the team charged for the work; raise HubError.

        ``target`` names the queue or service in the error message.
        """
        match access:
            case OpenToAll(team=team):
                self._require_trusted_configuration()
                return self.team_of_key(secret) if secret else team
            case ForTeams(teams=teams):
                team = self.team_of_key(secret)
                if team not in teams:
                    raise HubError(
                        ErrorKind.FORBIDDEN,
                        f"team {team} may not use {target}; ask an operator for access",
                    )
                return team

    def _require_trusted_configuration(self) -> None:
        if not self._configuration.trusted:
            raise HubError(
                ErrorKind.UNAVAILABLE,
                "this entry daemon cannot tell whether its configuration is current; "
                "try again, so that the load balancer chooses another entry daemon",
            )
