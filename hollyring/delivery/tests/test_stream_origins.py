import random

import pytest

from hollyring.delivery import stream_origins

V1 = stream_origins.Origin("chat", "v1")
V2 = stream_origins.Origin("chat", "v2")
BOTH = {"v1", "v2"}


@pytest.fixture
def origins():
    return stream_origins.StreamOrigins()


def test_stream_of_unknown_origin_is_resumable_only_with_one_version(origins):
    only = stream_origins.OnlySoftware("v1")
    assert origins.continuation("r", "chat", {"v1"}, 0.0) == only
    for versions in (set(), BOTH):
        unknown = origins.continuation("r", "chat", versions, 0.0)
        assert isinstance(unknown, stream_origins.NotResumable)


def test_stream_of_unknown_origin_is_not_resumable_while_earlier_versions_are_not_known(origins):
    assert isinstance(origins.continuation("r", "chat", None, 0.0), stream_origins.NotResumable)
    origins.record("r", V1, 0.0)
    assert origins.continuation("r", "chat", None, 1.0) == stream_origins.OnlySoftware("v1")


def test_known_version_is_required_even_if_no_upstream_has_it_any_more(origins):
    origins.record("r", V1, 0.0)
    assert origins.continuation("r", "chat", {"v2"}, 5.0) == stream_origins.OnlySoftware("v1")


def test_stream_is_not_continued_at_another_service(origins):
    origins.record("r", V1, 0.0)
    moved = origins.continuation("r", "search", {"v1"}, 1.0)
    assert isinstance(moved, stream_origins.NotResumable)


def test_streams_that_began_before_a_service_was_mixed_are_reported_then(origins):
    origins.record("r-1", V1, 0.0)
    assert origins.take_unreported(set(), 1.0) == {}
    origins.record("r-2", V2, 2.0)
    assert origins.take_unreported({"chat"}, 3.0) == {V1: ["r-1"], V2: ["r-2"]}
    assert origins.take_unreported({"chat"}, 4.0) == {}


def test_streams_are_reported_again_to_a_vm_that_started(origins):
    origins.record("r-1", V1, 0.0)
    origins.take_unreported({"chat"}, 1.0)
    origins.report_again()
    assert origins.take_unreported({"chat"}, 2.0) == {V1: ["r-1"]}


def test_streams_of_other_vms_are_not_reported_on(origins):
    origins.record_reported(["r-1"], V1, 0.0)
    assert origins.take_unreported({"chat"}, 1.0) == {}
    assert origins.continuation("r-1", "chat", BOTH, 1.0) == stream_origins.OnlySoftware("v1")


def test_expired_streams_are_not_reported(origins):
    origins.record("r-1", V1, 0.0)
    late = stream_origins.ORIGIN_TTL_SECONDS + 1.0
    assert origins.take_unreported({"chat"}, late) == {}


def test_number_of_origins_is_bounded(origins, monkeypatch):
    monkeypatch.setattr(stream_origins, "MAX_ORIGINS", 3)
    for number in range(5):
        origins.record(f"r-{number}", V1, 0.0)
    kept = origins.take_unreported({"chat"}, 0.0)
    assert kept == {V1: ["r-2", "r-3", "r-4"]}


@pytest.mark.parametrize("seed", range(20))
def test_vms_that_lose_reports_never_name_a_wrong_version(seed):
    rng = random.Random(seed)
    vms = [stream_origins.StreamOrigins() for _ in range(4)]
    began = {}
    for step in range(300):
        now = step * 0.05
        vm = rng.choice(vms)
        if rng.random() < 0.5:
            began[f"r-{step}"] = origin = rng.choice([V1, V2])
            vm.record(f"r-{step}", origin, now)
        for origin, request_ids in vm.take_unreported({"chat"}, now).items():
            for other in vms:
                if other is not vm and rng.random() < 0.8:
                    other.record_reported(request_ids, origin, now)
        if rng.random() < 0.02:
            vms[rng.randrange(len(vms))] = stream_origins.StreamOrigins()
            for other in vms:
                other.report_again()
    for request_id, origin in began.items():
        for vm in vms:
            match vm.continuation(request_id, "chat", BOTH, 15.0):
                case stream_origins.OnlySoftware(software=software):
                    assert software == origin.software
                case result:
                    assert isinstance(result, stream_origins.NotResumable)


def test_streams_that_could_not_be_reported_are_reported_with_the_next_ones(origins):
    chat = stream_origins.Origin("chat", "v1")
    for number in range(5):
        origins.record(f"r-{number}", chat, float(number))
    assert origins.take_unreported({"chat"}, 5.0, limit=3) == {chat: ["r-0", "r-1", "r-2"]}
    origins.put_back(["r-1", "unknown"])
    assert origins.take_unreported({"chat"}, 5.0) == {chat: ["r-3", "r-4", "r-1"]}


def test_only_origins_that_are_known_and_not_expired_are_named(origins):
    chat = stream_origins.Origin("chat", "v1")
    origins.record("r-1", chat, 0.0)
    origins.record_reported(["r-2"], chat, 20.0)
    assert origins.known(["r-1", "r-2", "r-3"], 20.0) == {chat: ["r-1", "r-2"]}
    assert origins.known(["r-1", "r-2", "r-3"], 40.0) == {chat: ["r-2"]}
