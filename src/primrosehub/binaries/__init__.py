"""The programs: each lists its services by name and runs them."""
