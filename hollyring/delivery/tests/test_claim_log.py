import dataclasses

import pytest

from hollyring.delivery import claim_log, errors, records, storage


@pytest.fixture
def platform():
    """The platform's keys, as value and version; every write counts one version up."""
    return {}


def claim(number, owner="vm-1", at=0):
    key = number.to_bytes(16, "big")
    return records.Record(key, b"body", owner, 1, number, False, at)


def carry_out(log, actions, platform, now=0.0, wall=0.0):
    """Do what the log asks until it asks for nothing; return what it settled."""
    settled, waiting = [], list(actions)
    while waiting:
        action = waiting.pop(0)
        match action:
            case storage.ReadValue(key):
                event = storage.Value(key, *platform.get(key, (b"", 0)))
            case storage.PutValue(key, value, version):
                event = storage.Conflict(key)
                if platform.get(key, (b"", 0))[1] == version:
                    platform["version"] = platform.get("version", 0) + 1
                    platform[key] = (value, platform["version"])
                    event = storage.Written(key, platform["version"])
            case storage.DeleteValue(key, version):
                if platform.get(key, (b"", 0))[1] == version:
                    del platform[key]
                continue
            case _:
                settled.append(action)
                continue
        waiting += log.handle(event, now, wall)
    return settled


def add(log, platform, *claims, wall=0.0, reread=False):
    settled = []
    for one in claims:
        settled += carry_out(log, log.append(one, 0.0, wall, reread), platform, wall=wall)
    return settled


def fresh_log(**sizes):
    return claim_log.GroupLog(0, write_interval=0.0, **sizes)


def test_segments_keep_every_claim_and_their_number_small(platform):
    writer = fresh_log(max_head_records=4, max_segment_records=64)
    claims = [claim(number) for number in range(500)]
    assert add(writer, platform, *claims) == [claim_log.Granted(one) for one in claims]
    reader = fresh_log()
    settled = add(reader, platform, *(claim(number, "vm-2") for number in range(500)))
    assert settled == [claim_log.AlreadyClaimed(claim(n, "vm-2"), claim(n)) for n in range(500)]
    segments = [key for key in platform if key.startswith("claims/0/")]
    assert len(segments) <= 500 // 32 + 6


def test_a_claim_waits_for_the_next_write(platform):
    log = claim_log.GroupLog(0, write_interval=0.2)
    carry_out(log, log.append(claim(1), 0.0, 0.0), platform)
    waiting = [log.append(claim(number), 0.1, 0.0) for number in range(2, 50)]
    assert waiting == [[]] * 48 and log.due == pytest.approx(0.2)
    assert log.tick(0.19, 0.0) == []
    (put,) = log.tick(0.2, 0.0)
    settled = carry_out(log, [put], platform, now=0.2)
    assert settled == [claim_log.Granted(claim(number)) for number in range(2, 50)]


def test_two_writers_never_both_win(platform):
    one, two = fresh_log(), fresh_log()
    add(one, platform, claim(1))
    add(two, platform, claim(2, "vm-2"))
    assert add(one, platform, claim(2)) == [claim_log.AlreadyClaimed(claim(2), claim(2, "vm-2"))]
    assert add(two, platform, claim(1, "vm-2")) == [
        claim_log.AlreadyClaimed(claim(1, "vm-2"), claim(1)),
    ]


def test_lost_write_that_took_effect_is_found(platform):
    log = fresh_log()
    (read,) = log.append(claim(1), 0.0, 0.0)
    (put,) = log.handle(storage.Value(read.key, b"", 0), 0.0, 0.0)
    platform[put.key] = (put.value, 9)
    assert log.handle(storage.WriteUnconfirmed(put.key), 0.0, 0.0) == []
    settled = carry_out(log, log.tick(9.0, 0.0), platform, now=9.0)
    assert settled == [claim_log.Granted(claim(1))]
    assert platform[put.key] == (put.value, 9)


def test_lost_write_of_a_withdrawn_claim_can_take_no_effect_later(platform):
    log = fresh_log()
    (read,) = log.append(claim(1), 0.0, 0.0)
    (put,) = log.handle(storage.Value(read.key, b"", 0), 0.0, 0.0)
    log.handle(storage.WriteUnconfirmed(put.key), 0.0, 0.0)
    log.append(claim(1).as_released(), 0.0, 0.0)
    assert carry_out(log, log.tick(9.0, 0.0), platform, now=9.0) == [
        claim_log.Granted(claim(1).as_released())
    ]
    assert platform[put.key][1] != put.version


def test_released_claim_may_be_claimed_again(platform):
    log = fresh_log(max_head_records=1)
    add(log, platform, claim(1), claim(1).as_released())
    again = claim(1, "vm-2")
    assert add(fresh_log(), platform, again) == [claim_log.Granted(again)]
    assert add(log, platform, claim(1).as_released()) == [claim_log.Granted(claim(1).as_released())]
    by = add(fresh_log(), platform, claim(1, "vm-3"))
    assert by == [claim_log.AlreadyClaimed(claim(1, "vm-3"), again)]


def test_a_later_life_can_not_release_an_earlier_lifes_claim(platform):
    add(fresh_log(), platform, claim(1))
    later_life = dataclasses.replace(claim(1), incarnation=2)
    add(fresh_log(), platform, later_life.as_released())
    by = add(fresh_log(), platform, claim(1, "vm-3"))
    assert by == [claim_log.AlreadyClaimed(claim(1, "vm-3"), claim(1))]


def test_stale_claim_of_another_is_read_again_when_asked(platform):
    one, two = fresh_log(), fresh_log()
    add(one, platform, claim(1))
    assert add(two, platform, claim(1, "vm-2")) == [
        claim_log.AlreadyClaimed(claim(1, "vm-2"), claim(1))
    ]
    add(one, platform, claim(1).as_released())
    assert add(two, platform, claim(1, "vm-2"), reread=True) == [
        claim_log.Granted(claim(1, "vm-2"))
    ]


def test_old_claims_are_pruned_and_young_ones_never(platform):
    log = fresh_log(max_head_records=2, max_segment_records=4)
    lasting = claim_log.RETENTION_SECONDS
    add(log, platform, *(claim(number) for number in range(20)))
    add(log, platform, *(claim(n, at=int(lasting)) for n in range(20, 25)), wall=lasting)
    assert log.key_count == 25
    late = lasting + claim_log.MAX_CLOCK_SKEW_SECONDS + 1
    add(log, platform, claim(30, at=int(late)), wall=late)
    reader = fresh_log()
    kept = add(reader, platform, *(claim(number, "vm-2") for number in range(20, 25)), wall=late)
    assert all(isinstance(one, claim_log.AlreadyClaimed) for one in kept)
    assert log.key_count < 12 and len(platform) < 6


@pytest.mark.parametrize("value", [b"\xc1", records.encode(records.Head([], []))[:-1]])
def test_unreadable_log_grants_nothing(platform, value):
    log = fresh_log()
    (read,) = log.append(claim(1), 0.0, 0.0)
    assert log.handle(storage.Value(read.key, value, 3), 0.0, 0.0) == []
    assert log.due > 0
    with pytest.raises(errors.LogFormatError):
        records.decode(value)


def test_missing_segment_grants_nothing(platform):
    log = fresh_log(max_head_records=1)
    add(log, platform, claim(1), claim(2), claim(3))
    segment = next(key for key in platform if key.startswith("claims/0/"))
    del platform[segment]
    reader = fresh_log()
    assert add(reader, platform, claim(1, "vm-2")) == []
    assert reader.pending_count == 1


def test_waiting_claims_are_bounded():
    log = fresh_log()
    for number in range(claim_log.MAX_PENDING):
        log.append(claim(number), 0.0, 0.0)
    last = claim(claim_log.MAX_PENDING)
    assert log.append(last, 0.0, 0.0) == [claim_log.QueueFull(last)]
