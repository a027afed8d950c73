"""Small stand-ins for the platform, worker hosts and backend servers."""
