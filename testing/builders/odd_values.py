"""Build rows, cards and bodies that another writer got wrong in one field."""

import orjson

DEPTH = 20_000  # far beyond the nesting that a JSON parser follows
HUGE = "1" + "0" * 400  # beyond the range of a float
LONG_PORT = "8" * 5_000  # more digits than Python converts to an int

ODD_ADDRESSES = {
    "port out of range": "10.0.0.1:70000",
    "port zero": "10.0.0.1:0",
    "negative port": "10.0.0.1:-80",
    "port of 5,000 digits": f"10.0.0.1:{LONG_PORT}",
    "superscript port": "10.0.0.1:8²",
    "Arabic digits": "10.0.0.1:٨٠",
    "no port": "10.0.0.1",
    "no ip": ":80",
    "host name": "somewhere.example:80",
    "line break": "10.0.0.1\r\nX: y:80",
    "empty": "",
}
ODD_NUMBERS = {
    "beyond a float": HUGE,
    "beyond 64 bits": str(2**70),
    "negative": "-1",
    "fraction": "0.5",
    "not a number": "NaN",
    "infinite": "Infinity",
    "text": '"7"',
    "null": "null",
    "list": "[1]",
}
ODD_TEXTS = {
    "number": "7",
    "null": "null",
    "list": '["a"]',
    "lone surrogate": '"\\ud800"',
    "too long": '"' + "a" * 10_000 + '"',
    "deeply nested": "[" * DEPTH + "]" * DEPTH,
}
ODD_DOCUMENTS = {
    "empty": b"",
    "no JSON": b"\xff\x00",
    "null": b"null",
    "number": b"7",
    "list": b"[]",
    "cut off": b'{"service":',
    "deeply nested": b"[" * DEPTH + b"]" * DEPTH,
    "deeply nested object": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
}


def a_host_entry(**fields):
    """Return a host's entry as text, with fields given as JSON text."""
    values = {
        "service": '"workshop"',
        "address": '"10.0.0.1:80"',
        "zone": '"zone-0"',
        "state": '"ready"',
        "free-capacity": '{"cpu":8000,"mem-mb":16384,"gpu":0}',
        "labels": '["a","r1"]',
        "born": "7",
    } | {name.replace("_", "-"): value for name, value in fields.items()}
    body = ",".join(f'"{name}":{value}' for name, value in values.items())
    return f"{{{body}}}".encode()


def odd_host_entries():
    """Return odd entries of the host list by what is odd about them."""
    entries = {f"document: {name}": value for name, value in ODD_DOCUMENTS.items()}
    for name, address in ODD_ADDRESSES.items():
        text = orjson.dumps(address).decode()
        entries[f"address: {name}"] = a_host_entry(address=text)
    for name, number in ODD_NUMBERS.items():
        entries[f"cpu: {name}"] = a_host_entry(free_capacity=f'{{"cpu":{number}}}')
        entries[f"born: {name}"] = a_host_entry(born=number)
        if name != "null":
            entries[f"time left: {name}"] = a_host_entry(remaining_ms=number)
    for name, text in ODD_TEXTS.items():
        for field in ("service", "address", "zone", "state"):
            entries[f"{field}: {name}"] = a_host_entry(**{field: text})
        entries[f"label: {name}"] = a_host_entry(labels=f"[{text}]")
        entries[f"labels: {name}"] = a_host_entry(labels=text)
    entries["labels: too many"] = a_host_entry(labels='["a"' + ',"b"' * 5000 + "]")
    # A label may be any list of texts, so this one is not odd.
    del entries["labels: list"]
    return entries
