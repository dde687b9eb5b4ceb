import dataclasses

import pytest

from hollyring.delivery import claim_log, errors, records, storage


@pytest.fixture
def platform():
    """Keys of the key-value store, as value and version; each write increments the version."""
    return {}


def claim(number, owner="vm-1", at=0):
    key = number.to_bytes(16, "big")
    return records.Record(key, b"body", owner, 1, number, False, at)


def run_actions(log, actions, platform, now=0.0, wall_time=0.0):
    """Carry out all actions of the log, also those that follow; return the append results."""
    results, waiting = [], list(actions)
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
                results.append(action)
                continue
        waiting += log.handle(event, now, wall_time)
    return results


def append_all(log, platform, *claims, wall_time=0.0, reread=False):
    results = []
    for record in claims:
        results += run_actions(
            log, log.append(record, 0.0, wall_time, reread), platform, wall_time=wall_time
        )
    return results


def new_log(**sizes):
    return claim_log.GroupLog(0, write_interval=0.0, **sizes)


def test_merging_segments_loses_no_claim_and_keeps_few_segments(platform):
    writer = new_log(max_head_records=4, max_segment_records=64)
    claims = [claim(number) for number in range(500)]
    assert append_all(writer, platform, *claims) == [claim_log.Granted(record) for record in claims]
    reader = new_log()
    results = append_all(reader, platform, *(claim(number, "vm-2") for number in range(500)))
    assert results == [claim_log.AlreadyClaimed(claim(n, "vm-2"), claim(n)) for n in range(500)]
    segments = [key for key in platform if key.startswith("claims/0/")]
    assert len(segments) <= 500 // 32 + 6


def test_writes_are_no_more_frequent_than_the_interval(platform):
    log = claim_log.GroupLog(0, write_interval=0.2)
    run_actions(log, log.append(claim(1), 0.0, 0.0), platform)
    waiting = [log.append(claim(number), 0.1, 0.0) for number in range(2, 50)]
    assert waiting == [[]] * 48 and log.due == pytest.approx(0.2)
    assert log.tick(0.19, 0.0) == []
    (put,) = log.tick(0.2, 0.0)
    results = run_actions(log, [put], platform, now=0.2)
    assert results == [claim_log.Granted(claim(number)) for number in range(2, 50)]


def test_concurrent_writers_are_not_both_granted_a_key(platform):
    first, second = new_log(), new_log()
    append_all(first, platform, claim(1))
    append_all(second, platform, claim(2, "vm-2"))
    assert append_all(first, platform, claim(2)) == [
        claim_log.AlreadyClaimed(claim(2), claim(2, "vm-2"))
    ]
    assert append_all(second, platform, claim(1, "vm-2")) == [
        claim_log.AlreadyClaimed(claim(1, "vm-2"), claim(1)),
    ]


def test_unconfirmed_write_that_took_effect_is_not_written_again(platform):
    log = new_log()
    (read,) = log.append(claim(1), 0.0, 0.0)
    (put,) = log.handle(storage.Value(read.key, b"", 0), 0.0, 0.0)
    platform[put.key] = (put.value, 9)
    assert log.handle(storage.WriteUnconfirmed(put.key), 0.0, 0.0) == []
    results = run_actions(log, log.tick(9.0, 0.0), platform, now=9.0)
    assert results == [claim_log.Granted(claim(1))]
    assert platform[put.key] == (put.value, 9)


def test_unconfirmed_write_of_a_released_claim_cannot_take_effect_later(platform):
    log = new_log()
    (read,) = log.append(claim(1), 0.0, 0.0)
    (put,) = log.handle(storage.Value(read.key, b"", 0), 0.0, 0.0)
    log.handle(storage.WriteUnconfirmed(put.key), 0.0, 0.0)
    log.append(claim(1).as_released(), 0.0, 0.0)
    assert run_actions(log, log.tick(9.0, 0.0), platform, now=9.0) == [
        claim_log.Granted(claim(1).as_released())
    ]
    assert platform[put.key][1] != put.version


def test_released_key_can_be_claimed_again(platform):
    log = new_log(max_head_records=1)
    append_all(log, platform, claim(1), claim(1).as_released())
    again = claim(1, "vm-2")
    assert append_all(new_log(), platform, again) == [claim_log.Granted(again)]
    assert append_all(log, platform, claim(1).as_released()) == [
        claim_log.Granted(claim(1).as_released())
    ]
    results = append_all(new_log(), platform, claim(1, "vm-3"))
    assert results == [claim_log.AlreadyClaimed(claim(1, "vm-3"), again)]


def test_later_incarnation_cannot_release_an_earlier_claim(platform):
    append_all(new_log(), platform, claim(1))
    later_incarnation = dataclasses.replace(claim(1), incarnation=2)
    append_all(new_log(), platform, later_incarnation.as_released())
    results = append_all(new_log(), platform, claim(1, "vm-3"))
    assert results == [claim_log.AlreadyClaimed(claim(1, "vm-3"), claim(1))]


def test_reread_discards_a_stale_claim_of_another_vm(platform):
    first, second = new_log(), new_log()
    append_all(first, platform, claim(1))
    assert append_all(second, platform, claim(1, "vm-2")) == [
        claim_log.AlreadyClaimed(claim(1, "vm-2"), claim(1))
    ]
    append_all(first, platform, claim(1).as_released())
    assert append_all(second, platform, claim(1, "vm-2"), reread=True) == [
        claim_log.Granted(claim(1, "vm-2"))
    ]


def test_only_expired_claims_are_pruned(platform):
    log = new_log(max_head_records=2, max_segment_records=4)
    retention = claim_log.RETENTION_SECONDS
    append_all(log, platform, *(claim(number) for number in range(20)))
    append_all(
        log, platform, *(claim(n, at=int(retention)) for n in range(20, 25)), wall_time=retention
    )
    assert log.key_count == 25
    late = retention + claim_log.MAX_CLOCK_SKEW_SECONDS + 1
    append_all(log, platform, claim(30, at=int(late)), wall_time=late)
    reader = new_log()
    kept = append_all(
        reader, platform, *(claim(number, "vm-2") for number in range(20, 25)), wall_time=late
    )
    assert all(isinstance(result, claim_log.AlreadyClaimed) for result in kept)
    assert log.key_count < 12 and len(platform) < 6


@pytest.mark.parametrize("value", [b"\xc1", records.encode(records.Head([], []))[:-1]])
def test_unreadable_log_grants_nothing(platform, value):
    log = new_log()
    (read,) = log.append(claim(1), 0.0, 0.0)
    assert log.handle(storage.Value(read.key, value, 3), 0.0, 0.0) == []
    assert log.due > 0
    with pytest.raises(errors.LogFormatError):
        records.decode(value)


def test_missing_segment_grants_nothing(platform):
    log = new_log(max_head_records=1)
    append_all(log, platform, claim(1), claim(2), claim(3))
    segment = next(key for key in platform if key.startswith("claims/0/"))
    del platform[segment]
    reader = new_log()
    assert append_all(reader, platform, claim(1, "vm-2")) == []
    assert reader.pending_count == 1


def test_pending_claims_are_bounded():
    log = new_log()
    for number in range(claim_log.MAX_PENDING):
        log.append(claim(number), 0.0, 0.0)
    last = claim(claim_log.MAX_PENDING)
    assert log.append(last, 0.0, 0.0) == [claim_log.QueueFull(last)]
