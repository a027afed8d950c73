"""Stand in for the platform, worker hosts and backend servers in tests and the demo."""
