"""The programs: each lists the names of its services and runs them in a kernel."""
