"""Data classes and helpers that all services share."""
