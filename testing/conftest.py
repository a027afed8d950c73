from gevent import monkey

monkey.patch_all()

import pytest  # noqa: E402

from primrosehub_standins.cell import Cell  # noqa: E402
from primrosehub_standins.layout import Layout  # noqa: E402
from testing.builders import a_rule_file  # noqa: E402
from testing.cell.callers import Callers  # noqa: E402

FAST_TIMING = {
    "renew_s": 0.4,
    "take_over_s": 1.6,
    "lease_s": 3.0,
    "sync_s": 0.6,
    "drift_s": 0.3,
    "unconfirmed_s": 6.0,
    "config_poll_s": 0.4,
    "config_stale_s": 2.0,
    "exchange_s": 0.5,
    "inbox_poll_s": 0.4,
}


@pytest.fixture
def start_cell(tmp_path):
    """Start cells of a given layout and stop them after the test."""
    cells = []

    def start(**layout):
        defaults = {
            "entries": 1,
            "schedulers": 1,
            "zones": 2,
            "workers_per_rack": 2,
            "worker_capacity": {"cpu_m": 8000, "memory_mb": 16384},
            "backends": 2,
            "shards": 2,
            "timing": FAST_TIMING,
        }
        cell = Cell(tmp_path / f"cell-{len(cells)}", Layout(**(defaults | layout)))
        cells.append(cell)
        rules = tmp_path / "rules.txt"
        rules.write_text(a_rule_file())
        cell.start(rules)
        return cell, Callers(cell)

    yield start
    for cell in cells:
        cell.close()
