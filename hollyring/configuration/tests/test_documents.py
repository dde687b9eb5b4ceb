import pytest

from hollyring.configuration import documents, errors

MALFORMED = {
    "no JSON": ("{", "document: not JSON"),
    "no object": ("[]", "document: allowed: a JSON object"),
    "other format": ('{"format": 9, "objects": []}', "format: 9: allowed: 1"),
    "no list": ('{"format": 1, "objects": {}}', "objects: allowed: a list"),
    "no object in list": ('{"format": 1, "objects": [3]}', "objects[0]: 3: allowed: a JSON"),
    "unknown kind": ('{"format": 1, "objects": [{"object": "x"}]}', 'objects[0].object: "x"'),
    "unhashable kind": ('{"format": 1, "objects": [{"object": []}]}', "objects[0].object: []"),
}


@pytest.mark.parametrize("case", MALFORMED)
def test_decode_reports_malformed_document(case):
    text, expected = MALFORMED[case]
    with pytest.raises(errors.InvalidConfigurationError) as caught:
        documents.decode(text)
    assert caught.value.findings[0].startswith(expected)


def test_decode_reports_errors_of_all_objects_and_hides_secrets():
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
