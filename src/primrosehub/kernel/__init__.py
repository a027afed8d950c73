"""Register services by name, and start and stop them in order."""

from primrosehub.kernel._kernel import Kernel, Service, ServiceName
from primrosehub.kernel._tasks import TaskGroup

__all__ = ["Kernel", "Service", "ServiceName", "TaskGroup"]
