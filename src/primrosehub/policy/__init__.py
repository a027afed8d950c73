"""The decisions: no I/O and no clock; time and state come in as values."""
