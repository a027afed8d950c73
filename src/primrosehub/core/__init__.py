"""The data classes that every service shares."""
