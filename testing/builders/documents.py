"""Build one valid document of each kind that the daemons decode."""

JOB_ID = "5c0e7a21d94b36f8"
_TASK = f"{JOB_ID}.0.0.1"


def a_host_entry():
    return {
        "service": "workshop",
        "address": "10.0.0.1:80",
        "zone": "zone-0",
        "state": "ready",
        "free-capacity": {"cpu": 8000, "mem-mb": 16384, "gpu": 0},
        "labels": ["a", "r1"],
        "born": 7,
        "remaining-ms": 900,
    }


def a_host_report():
    return {
        "clock-ms": 1,
        "born": 7,
        "state": "ready",
        "active": [[_TASK, 1, "", 10]],
        "ended": [[1, _TASK, 1, "done", ""]],
    }


def a_configuration():
    advice = {"decide-latency-ms": 1, "per-worker-ms": 1, "validity-ms": 9}
    route = {
        "name": "quotes",
        "host": "jobs.example",
        "prefix": "/quotes/",
        "service": "workshop",
        "priority": 1,
        "slack-factor": 2.0,
        "recommendation": advice,
    }
    tenant = {"name": "blue", "api-keys": ["k"], "weight": 1, "max-count": {"cpu": 9}}
    limits = {"max-body-bytes": 9}
    return {"version": 1, "routes": [route], "tenants": [tenant], "limits": limits}


def an_advice_answer():
    return {"allowed": [["i-1", "ticket"]], "validity-ms": 9}


def a_stored_job():
    step = {"tasks": 2, "need": {"cpu_m": 1000}, "estimate_s": 1.0, "after": []}
    return {
        "job": JOB_ID,
        "team": "blue",
        "queue": "quotes",
        "service": "workshop",
        "accepted_ms": 1,
        "spec": {"command": "run", "steps": [step], "occurrences": 1},
    }


def a_progress():
    failures = {"0.0.1": [1]}
    return {"state": "running", "done": {"0.0": [1]}, "failures": failures}


def a_card():
    return {
        "name": "hub-1",
        "address": "10.0.0.1:80",
        "zone": "north",
        "incarnation": "x",
        "power": 1.0,
    }


def a_ping():
    return {
        "sender": a_card(),
        "owner": {"epoch": 1, "incarnation": "x", "name": "hub-1"},
        "config_version": 1,
        "store_reached": True,
    }


def a_submission():
    phase = {"count": 1, "cpu": 1000, "estimated-runtime-ms": 900, "fill-ratio": 0.5}
    return {"spec": "run", "phases": [phase], "start-time-ms": 1_800_000_000_000}


def hub_settings():
    return {
        "name": "hub-1",
        "zone": "north",
        "ip": "10.0.0.1",
        "callers": "10.0.0.1:1",
        "ready": "10.0.0.1:2",
        "peer": "10.0.0.1:3",
        "store": "10.0.0.1:4",
        "cpu_share": 0.5,
        "bounds": {"grace_s": 6},
    }
