"""Schedule quick requests, services, batch and all-at-once jobs in one cell."""

from primrosehub.core.errors import ErrorKind, HubError
from primrosehub.core.resources import Resources

__all__ = ["ErrorKind", "HubError", "Resources"]
