"""Benchmarks: they print JSON and judge nothing."""
