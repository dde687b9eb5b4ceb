import dataclasses

import pytest

from hollyring.delivery import claimlog, errors, records, storage


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


def add(log, platform, *claims, wall=0.0, fresh=False):
    settled = []
    for one in claims:
        settled += carry_out(log, log.append(one, 0.0, wall, fresh), platform, wall=wall)
    return settled


def fresh_log(**sizes):
    return claimlog.GroupLog(0, interval=0.0, **sizes)


def test_segments_keep_every_claim_and_their_number_small(platform):
    writer = fresh_log(seal_records=4, segment_records=64)
    claims = [claim(number) for number in range(500)]
    assert add(writer, platform, *claims) == [claimlog.Granted(one) for one in claims]
    reader = fresh_log()
    settled = add(reader, platform, *(claim(number, "vm-2") for number in range(500)))
    assert settled == [claimlog.Existing(claim(n, "vm-2"), claim(n)) for n in range(500)]
    segments = [key for key in platform if key.startswith("claims/0/")]
    assert len(segments) <= 500 // 32 + 6


def test_a_claim_waits_for_the_next_write(platform):
    log = claimlog.GroupLog(0, interval=0.2)
    carry_out(log, log.append(claim(1), 0.0, 0.0), platform)
    waiting = [log.append(claim(number), 0.1, 0.0) for number in range(2, 50)]
    assert waiting == [[]] * 48 and log.due == pytest.approx(0.2)
    assert log.tick(0.19, 0.0) == []
    (put,) = log.tick(0.2, 0.0)
    settled = carry_out(log, [put], platform, now=0.2)
    assert settled == [claimlog.Granted(claim(number)) for number in range(2, 50)]


def test_two_writers_never_both_win(platform):
    one, two = fresh_log(), fresh_log()
    add(one, platform, claim(1))
    add(two, platform, claim(2, "vm-2"))
    assert add(one, platform, claim(2)) == [claimlog.Existing(claim(2), claim(2, "vm-2"))]
    assert add(two, platform, claim(1, "vm-2")) == [
        claimlog.Existing(claim(1, "vm-2"), claim(1)),
    ]


def test_lost_write_that_took_effect_is_found(platform):
    log = fresh_log()
    (read,) = log.append(claim(1), 0.0, 0.0)
    (put,) = log.handle(storage.Value(read.key, b"", 0), 0.0, 0.0)
    platform[put.key] = (put.value, 9)
    assert log.handle(storage.WriteLost(put.key), 0.0, 0.0) == []
    settled = carry_out(log, log.tick(9.0, 0.0), platform, now=9.0)
    assert settled == [claimlog.Granted(claim(1))]
    assert platform[put.key] == (put.value, 9)


def test_lost_write_of_a_withdrawn_claim_can_take_no_effect_later(platform):
    log = fresh_log()
    (read,) = log.append(claim(1), 0.0, 0.0)
    (put,) = log.handle(storage.Value(read.key, b"", 0), 0.0, 0.0)
    log.handle(storage.WriteLost(put.key), 0.0, 0.0)
    log.append(claim(1).release(), 0.0, 0.0)
    assert carry_out(log, log.tick(9.0, 0.0), platform, now=9.0) == [
        claimlog.Granted(claim(1).release())
    ]
    assert platform[put.key][1] != put.version


def test_released_claim_may_be_claimed_again(platform):
    log = fresh_log(seal_records=1)
    add(log, platform, claim(1), claim(1).release())
    again = claim(1, "vm-2")
    assert add(fresh_log(), platform, again) == [claimlog.Granted(again)]
    assert add(log, platform, claim(1).release()) == [claimlog.Granted(claim(1).release())]
    by = add(fresh_log(), platform, claim(1, "vm-3"))
    assert by == [claimlog.Existing(claim(1, "vm-3"), again)]


def test_a_later_life_can_not_release_an_earlier_lifes_claim(platform):
    add(fresh_log(), platform, claim(1))
    later_life = dataclasses.replace(claim(1), incarnation=2)
    add(fresh_log(), platform, later_life.release())
    by = add(fresh_log(), platform, claim(1, "vm-3"))
    assert by == [claimlog.Existing(claim(1, "vm-3"), claim(1))]


def test_stale_claim_of_another_is_read_again_when_asked(platform):
    one, two = fresh_log(), fresh_log()
    add(one, platform, claim(1))
    assert add(two, platform, claim(1, "vm-2")) == [claimlog.Existing(claim(1, "vm-2"), claim(1))]
    add(one, platform, claim(1).release())
    assert add(two, platform, claim(1, "vm-2"), fresh=True) == [claimlog.Granted(claim(1, "vm-2"))]


def test_old_claims_are_pruned_and_young_ones_never(platform):
    log = fresh_log(seal_records=2, segment_records=4)
    lasting = claimlog.RETENTION_SECONDS
    add(log, platform, *(claim(number) for number in range(20)))
    add(log, platform, *(claim(n, at=int(lasting)) for n in range(20, 25)), wall=lasting)
    assert log.claims == 25
    late = lasting + claimlog.CLOCK_MARGIN_SECONDS + 1
    add(log, platform, claim(30, at=int(late)), wall=late)
    reader = fresh_log()
    kept = add(reader, platform, *(claim(number, "vm-2") for number in range(20, 25)), wall=late)
    assert all(isinstance(one, claimlog.Existing) for one in kept)
    assert log.claims < 12 and len(platform) < 6


@pytest.mark.parametrize("value", [b"\xc1", records.encode(records.Head([], []))[:-1]])
def test_unreadable_log_grants_nothing(platform, value):
    log = fresh_log()
    (read,) = log.append(claim(1), 0.0, 0.0)
    assert log.handle(storage.Value(read.key, value, 3), 0.0, 0.0) == []
    assert log.due > 0
    with pytest.raises(errors.LogFormatError):
        records.decode(value)


def test_missing_segment_grants_nothing(platform):
    log = fresh_log(seal_records=1)
    add(log, platform, claim(1), claim(2), claim(3))
    segment = next(key for key in platform if key.startswith("claims/0/"))
    del platform[segment]
    reader = fresh_log()
    assert add(reader, platform, claim(1, "vm-2")) == []
    assert reader.pending == 1


def test_waiting_claims_are_bounded():
    log = fresh_log()
    for number in range(claimlog.MAX_PENDING):
        log.append(claim(number), 0.0, 0.0)
    last = claim(claimlog.MAX_PENDING)
    assert log.append(last, 0.0, 0.0) == [claimlog.Unavailable(last)]
