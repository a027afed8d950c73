"""Validate what enters and encode what leaves the process."""
