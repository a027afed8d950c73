"""Validate the data that enters the process and encode the data that leaves it."""
