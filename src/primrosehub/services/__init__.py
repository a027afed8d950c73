"""The services of the daemons, each found by its name in the kernel."""
