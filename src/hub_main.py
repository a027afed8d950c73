"""Run the hub daemon from a checkout that is not installed."""
# ruff: noqa: E402 - the signal has to be ignored before the imports, which take long

import signal

# Says that the settings have changed. They are not read yet, so nothing is missed, and
# by default it would end the process. The daemon sets its own handler.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from primrosehub.binaries.hub import main

if __name__ == "__main__":
    main()
