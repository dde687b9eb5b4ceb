"""Messages that VMs of earlier builds wrote, and what they read of later ones.

The bytes were written by those builds, of which `EARLIER` has the commits.
"""

import dataclasses
import pathlib
import re

import pytest

from hollyring.configuration import store_revision
from hollyring.delivery import forwarded
from hollyring.delivery import messages as delivery
from hollyring.membership import heartbeat
from hollyring.node import catalogue, thrift_names, wire
from hollyring.node.generated.peer import ttypes
from hollyring.node.tests import test_wire

CODEC = wire.Codec(catalogue.MESSAGES)
VM = heartbeat.VmInfo("vm-1", 7, "10.0.0.1:80", "10.0.0.1:90", "dar-a", "dar", 2.0)
UNKNOWN = store_revision.UNKNOWN_ERA
HEADERS = [forwarded.ForwardedHeader(b"a", b"b")]

HEARTBEAT = heartbeat.Heartbeat(
    VM,
    ready=True,
    store_reached=True,
    revisions=[heartbeat.PrefixRevision("op/", 9, UNKNOWN, age_seconds=-1.0)],
    wanted_versions=[heartbeat.WantedVersionAge("m", 2, 3.0)],
    loads=[heartbeat.UpstreamLoad("i-1", 2, 1, 30, 4)],
    usage=[heartbeat.OrganisationUsage("t", 8.0, 3.0, fleet_usage=-1.0)],
    cached_prompts=[],
    cache_reports=[],
    weights=[],
    unresponsive_upstreams=[],
    order_lease=heartbeat.OrderLeaseStatus(True, 1.5, ["i-1"]),
    leaving=False,
    exchanging=True,
    requests_per_second=0.0,
    stream_origins=[],
    departures=[],
    crashes=[],
    sound_parts=[],
    blamed_parts=[],
    request_limits=[],
    unreachable_services=[],
    accepts_forwarded=False,
    rejection_limits=[],
    answered_requests=[],
    copies_age_seconds=-1.0,
)
STATUS = heartbeat.FleetStatus(True, 3, ["vm-2"], [], [], [], [], reaching_vms=[])
COPY = heartbeat.Copy(
    "op/", 9, [heartbeat.CopyItem("op/config", b"{}", 9)], 9, [], False, UNKNOWN, deferred=False
)
UNSTATED_HEAD = forwarded.ForwardedHead(200, HEADERS, False, "i-1", "v1", 1, states_end=False)
UNSTATED_ANSWER = delivery.Answer(201, [delivery.Header("a", "b")], b"7", states_end=False)

EARLIER = {
    "7212e67": [
        (
            "828100106d656d626572736869702e50756c73651c1804766d2d31160e180b31302e302e302e313a3830"
            "180b31302e302e302e313a393018056461722d611803646172170000000000000040001111191c18036f"
            "702f161200191c18016d160417000000000000084000191c1803692d3116041602163c160800191c1801"
            "7417000000000000204017000000000000084017000000000000f0bf00190c190c190c19081c11170000"
            "00000000f83f191803692d3100121117000000000000000000",
            HEARTBEAT,
        ),
        (
            "828100166d656d626572736869702e466c656574537461747573111606191804766d2d32190c190c00",
            STATUS,
        ),
        (
            "828100166d656d626572736869702e436f70795265717565737418036f702f160800",
            heartbeat.CopyRequest("op/", 4, UNKNOWN, store_answers=False),
        ),
        (
            "8281000f6d656d626572736869702e436f707918036f702f1612191c18096f702f636f6e66696718027b"
            "7d1612001612190c1200",
            COPY,
        ),
        (
            "8281001464656c69766572792e436c61696d416e737765721808616e737765726564191c169203191c18"
            "0161180162001801370000",
            delivery.ClaimAnswer("answered", [UNSTATED_ANSWER]),
        ),
    ],
    "282d1af": [
        (
            "828100106d656d626572736869702e50756c73651c1804766d2d31160e180b31302e302e302e313a3830"
            "180b31302e302e302e313a393018056461722d611803646172170000000000000040001111191c18036f"
            "702f1612160117000000000000f0bf00191c18016d160417000000000000084000191c1803692d311604"
            "1602163c160800191c18017417000000000000204017000000000000084017000000000000f0bf00190c"
            "190c190c19081c1117000000000000f83f191803692d31001211170000000000000000190c190c190c19"
            "08190c190c190812190c00",
            HEARTBEAT,
        ),
        (
            "828100166d656d626572736869702e466c656574537461747573111606191804766d2d32190c190c190c"
            "190c1908190c00",
            STATUS,
        ),
        (
            "828100186d656d626572736869702e5065726d6974526571756573741803692d31160617000000000000"
            "0040121117000000000000f0bf180017000000000000000000",
            heartbeat.PermitRequest("i-1", 3, 2.0, False, True, -1.0, "", 0.0),
        ),
        (
            "828100166d656d626572736869702e5065726d69745265706c79111700000000000000001200",
            heartbeat.PermitReply(True, 0.0, doubtful=False),
        ),
        (
            "8281001964656c69766572792e466f72776172646564526571756573741803722d3118001804504f5354"
            "18042f612f621809682e6578616d706c6518042f612f62191c180161180162001804626f647916081700"
            "0000000000f83f180173180174160a16021604191803692d3200",
            forwarded.ForwardedRequest(
                *("r-1", "", b"POST", b"/a/b", "h.example", "/a/b", HEADERS, b"body", 4, 1.5),
                *("s", "t", 5, 1, 2, ["i-2"], None, None, None),
            ),
        ),
        (
            "8281001964656c69766572792e466f727761726465645265667573616c18076c656176696e67179a9999"
            "999999b93f18076e6f745f72756e1600190800",
            forwarded.ForwardedRefusal("leaving", 0.1, "not_run", 0, []),
        ),
        (
            "8281001664656c69766572792e466f7277617264656448656164169003191c1801611801620012180369"
            "2d3118027631160200",
            UNSTATED_HEAD,
        ),
    ],
}
CASES = [
    pytest.param(bytes.fromhex(data), reading, id=f"{commit}-{type(reading).__name__}")
    for commit, messages in EARLIER.items()
    for data, reading in messages
]


@pytest.mark.parametrize(("data", "reading"), CASES)
def test_what_an_earlier_build_does_not_state_is_read_as_not_stated(data, reading):
    assert CODEC.decode(data)[0] == reading


def struct_fields(path):
    """Return the numbered fields of each struct of a definition, in order."""
    structs = re.findall(r"struct (\w+) {\n(.*?)}", path.read_text(), re.DOTALL)
    return {name: fields.strip().splitlines() for name, fields in structs}


EARLIER_FIELDS = struct_fields(pathlib.Path(__file__).with_name("earlier_peer.thrift"))
"""Fields in build 282d1af."""


def as_earlier(value):
    """Return a message with the fields that the earlier build knows, the others not stated."""
    if isinstance(value, list):
        return [as_earlier(item) for item in value]
    if not dataclasses.is_dataclass(value):
        return value
    known = len(EARLIER_FIELDS[thrift_names.thrift_name(type(value))])
    fields = dataclasses.fields(value)[:known]
    return type(value)(**{f.name: as_earlier(getattr(value, f.name)) for f in fields})


def test_fields_are_only_added_behind_those_of_an_earlier_build():
    present = struct_fields(pathlib.Path(wire.__file__).with_name("peer.thrift"))
    for name, fields in EARLIER_FIELDS.items():
        assert present[name][: len(fields)] == fields


SENT = [
    *test_wire.EXAMPLES,
    *(reading for _, reading in EARLIER["282d1af"]),
    dataclasses.replace(HEARTBEAT, answered_requests=["r-1"]),
    dataclasses.replace(UNSTATED_HEAD, states_end=True),
]


@pytest.mark.parametrize("message", SENT, ids=lambda m: type(m).__name__)
def test_earlier_build_reads_all_that_it_knows_of_a_message(monkeypatch, message):
    data = CODEC.encode(message)
    for name, struct in vars(ttypes).items():
        if hasattr(struct, "thrift_spec"):
            known = len(EARLIER_FIELDS.get(name, []))
            monkeypatch.setattr(struct, "thrift_spec", struct.thrift_spec[: known + 1])
    assert CODEC.decode(data)[0] == as_earlier(message)
