"""The micro-kernel that registers services by name and runs them."""

from primrosehub.kernel._kernel import Kernel, Service, ServiceName
from primrosehub.kernel._tasks import TaskGroup, log_task_error

__all__ = ["Kernel", "Service", "ServiceName", "TaskGroup", "log_task_error"]
