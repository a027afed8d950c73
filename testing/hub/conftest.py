"""Fixtures that run complete hub daemons and stand-ins in one process."""

import pytest

from primrosehub_standins.hub_cell import PREFIX, HubCell, find_double_runs


@pytest.fixture
def start_hubs():
    cells = []

    def start(**layout):
        cell = HubCell(**layout)
        cells.append(cell)
        cell.leader()
        cell.until(
            lambda: all(
                cell.call(hub, "GET", PREFIX).status == 200 for hub in cell.hubs
            ),
            "a daemon does not serve",
        )
        return cell

    yield start
    for cell in cells:
        cell.__exit__()
        assert find_double_runs(cell.journal) == []
