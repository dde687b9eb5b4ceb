"""Reservation of port ranges against other processes of the host."""

import socket

import pytest

from hollyring.experiments import launcher, port_ranges, small_deployment

MORE_FLEETS_THAN_RANGES = 20
SIZE = 2


@pytest.fixture
def bases():
    """Yield the first ports of three small ranges that no other process uses."""
    base = launcher.free_base_port()
    small = range(base, base + 3 * SIZE, SIZE)
    yield small
    for reserved in (base, *small):
        port_ranges.release(reserved)


def create_fleet(folder):
    base = launcher.free_base_port()
    document = small_deployment.document(base)
    return launcher.Fleet(document, folder, base + launcher.PLATFORM_PORT_OFFSET)


def test_fleets_one_after_the_other_do_not_use_up_the_port_ranges(tmp_path):
    for _ in range(MORE_FLEETS_THAN_RANGES):
        create_fleet(tmp_path).stop()


def test_reserved_range_is_not_reserved_again_until_it_is_released(bases):
    reserved = [port_ranges.reserve(bases, SIZE, lambda _: True) for _ in range(4)]
    assert reserved == [*bases, None]
    port_ranges.release(bases[1])
    assert port_ranges.reserve(bases, SIZE, lambda _: True) == bases[1]


def test_range_with_a_used_port_is_not_left_reserved(bases):
    assert port_ranges.reserve(bases, SIZE, lambda base: base == bases[2]) == bases[2]
    assert port_ranges.reserve(bases, SIZE, lambda _: True) == bases[0]


def test_range_whose_last_port_only_has_a_closed_connection_is_reserved(bases):
    listening = socket.create_server(("127.0.0.1", bases[0] + SIZE - 1))
    with listening, socket.create_connection(listening.getsockname()) as client:
        accepted, _ = listening.accept()
        accepted.close()
        client.recv(1)
    assert port_ranges.reserve(bases, SIZE, lambda _: True) == bases[0]
