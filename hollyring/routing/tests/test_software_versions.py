from hollyring.routing import registry, software_versions

TTL_SECONDS = 30.0


def upstream(name, software, service="chat"):
    return registry.Upstream(
        registry.Entry(name, service, "10.0.0.1:80", "a", 8, False, 1, {}, software)
    )


def test_version_whose_last_upstream_left_counts_until_its_streams_are_over():
    versions = software_versions.SoftwareVersions(TTL_SECONDS)
    versions.observe([upstream("i-1", "v1"), upstream("i-2", "v2")], 0.0)
    assert versions.mixed_services == {"chat"}
    versions.observe([upstream("i-2", "v2")], TTL_SECONDS)
    assert versions.of_service("chat") == {"v1", "v2"}
    versions.observe([upstream("i-2", "v2")], TTL_SECONDS + 0.1)
    assert versions.of_service("chat") == {"v2"}
    assert versions.mixed_services == set()


def test_versions_of_different_services_are_not_mixed():
    versions = software_versions.SoftwareVersions(TTL_SECONDS)
    versions.observe([upstream("i-1", "v1"), upstream("i-2", "v2", "search")], 0.0)
    assert versions.mixed_services == set()


def test_upstream_that_changes_its_version_under_the_same_name_makes_its_service_mixed():
    versions = software_versions.SoftwareVersions(TTL_SECONDS)
    versions.observe([upstream("i-1", "v1")], 0.0)
    versions.observe([upstream("i-1", "v2")], 1.0)
    assert versions.mixed_services == {"chat"}
