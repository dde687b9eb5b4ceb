import pytest

from hollyring.configuration import documents, errors

FAULTS = {
    "no JSON": ("{", "document: not JSON"),
    "no object": ("[]", "document: allowed: a JSON object"),
    "other format": ('{"format": 9, "objects": []}', "format: 9: allowed: 1"),
    "no list": ('{"format": 1, "objects": {}}', "objects: allowed: a list"),
    "no object in list": ('{"format": 1, "objects": [3]}', "objects[0]: 3: allowed: a JSON"),
    "unknown kind": ('{"format": 1, "objects": [{"object": "x"}]}', 'objects[0].object: "x"'),
    "unhashable kind": ('{"format": 1, "objects": [{"object": []}]}', "objects[0].object: []"),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_fault_of_form_is_named(fault):
    text, expected = FAULTS[fault]
    with pytest.raises(errors.InvalidConfigurationError) as caught:
        documents.decode(text)
    assert caught.value.findings[0].startswith(expected)


def test_faults_of_all_objects_are_named_at_once_and_secrets_hidden():
    text = """{"format": 1, "objects": [
        {"object": "vm", "name": 3},
        {"object": "organisation", "name": "o", "rate": "fast", "burst": 1,
         "keys": [{"identity": 3, "digest": "my-secret"}]}]}"""
    with pytest.raises(errors.InvalidConfigurationError) as caught:
        documents.decode(text)
    named = [finding.partition(":")[0] for finding in caught.value.findings]
    assert "objects[0] vm.name" in named
    assert "objects[0] vm.region" in named
    assert "objects[1] organisation.rate" in named
    assert "objects[1] organisation.keys" in named
    assert "my-secret" not in str(caught.value)
