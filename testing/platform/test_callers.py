import orjson
import pytest

from primrosehub.core.errors import ErrorKind, HubError
from primrosehub.core.resources import Resources
from primrosehub.platform.callers import decode_job


def a_body(*phases, **fields):
    return orjson.dumps({"spec": "text", "phases": list(phases)} | fields)


def test_a_step_is_decoded_into_a_step_spec():
    wire = {
        "count": 4,
        "cpu": 500,
        "mem-mb": 256,
        "estimated-runtime-ms": 900,
        "affinity": "r1-3",
        "requirements": "a",
        "gang-scheduled": True,
        "rack-local": True,
        "checkpointing": True,
        "long-running": True,
        "max-per-server": 2,
        "max-unavailable": 1,
    }
    (step,) = decode_job(a_body(wire)).steps
    assert (step.tasks, step.need) == (4, Resources(500, 256, 0))
    assert (step.estimate_s, step.data_rack, step.label) == (0.9, "r1-3", "a")
    assert step.gang and step.one_rack and step.checkpoints and step.long_running
    assert (step.max_per_host, step.max_unavailable) == (2, 1)


@pytest.mark.parametrize(
    "body",
    [
        b"no json",
        b"[]",
        a_body(),
        a_body({"count": 0}),
        a_body({"count": 10**9}),
        a_body({"count": "many"}),
        a_body({"cpu": -1}),
        a_body({"cpu": 10**15}),
        a_body({"after": [0]}),
        a_body({}, {"after": [7]}),
        a_body({}, spec="x" * 4001),
        a_body({}, repetitions=-1),
    ],
)
def test_an_invalid_submission_is_rejected_with_a_reason(body):
    with pytest.raises(HubError) as caught:
        decode_job(body)
    assert caught.value.kind is ErrorKind.BAD_REQUEST
    assert caught.value.detail
