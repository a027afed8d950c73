"""Run the hub daemon from a checkout that is not installed."""

from primrosehub.binaries.hub import main

if __name__ == "__main__":
    main()
