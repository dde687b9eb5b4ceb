from hollyring.experiments import configuration_scaling


def test_gossip_per_vm_does_not_grow_with_the_fleet_and_propagates_in_time():
    small, large = (configuration_scaling.measure_fleet(count, 0.1, trials=2) for count in (9, 90))
    assert large.idle_bytes_per_vm_second < 1.2 * small.idle_bytes_per_vm_second
    assert large.everywhere_max_seconds < 12.0


def test_change_size_does_not_grow_with_the_configuration():
    small, large = (configuration_scaling.measure_organisations(count) for count in (5, 500))
    assert large.change_bytes < 1.1 * small.change_bytes
    assert large.whole_bytes > 50 * small.whole_bytes
