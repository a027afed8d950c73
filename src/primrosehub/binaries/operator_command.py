"""The operators' command: rules, keys, audit and the state of the cell."""
# ruff: noqa: E402, I001 - gevent must patch the standard library first

from gevent import monkey

monkey.patch_all()

import sys

import defopt

from primrosehub.binaries import (
    _operator_jobs,
    _operator_rules,
    _operator_state,
    _operator_waits,
)
from primrosehub.binaries._operator_context import OperatorError

COMMANDS = {
    "rules": _operator_rules.COMMANDS,
    "key": [_operator_rules.new],
    "audit": _operator_rules.audit,
    "status": _operator_state.status,
    "explain": _operator_jobs.explain,
    "waits": _operator_waits.waits,
}
EXIT_REFUSED = 1


def main() -> None:
    """Run the operators' command."""
    try:
        sys.exit(defopt.run(COMMANDS))
    except OperatorError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_REFUSED)


if __name__ == "__main__":
    main()
