"""Benchmarks, which print their results and fail on no bound."""
