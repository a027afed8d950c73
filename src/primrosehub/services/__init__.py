"""The services of the daemons; the kernel finds each by its name."""
