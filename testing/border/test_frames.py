import pytest

from primrosehub.border.frames import (
    CallFailed,
    CallRefused,
    FrameClient,
    FrameServer,
)
from primrosehub_standins.hub_cell import IP, free_port


def test_a_call_to_a_port_without_listener_is_refused():
    with pytest.raises(CallRefused):
        FrameClient(IP, free_port()).call(b"hello", 1.0)


def test_a_call_cut_off_while_it_waits_has_failed_but_was_not_refused():
    port = free_port()

    def close_the_server(_):
        server.stop()

    server = FrameServer(IP, port, close_the_server, 4)
    server.start()
    with pytest.raises(CallFailed) as caught:
        FrameClient(IP, port).call(b"hello", 5.0)
    assert not isinstance(caught.value, CallRefused)
