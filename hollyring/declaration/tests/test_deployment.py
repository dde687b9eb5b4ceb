import importlib.util
import pathlib

import msgspec
import pytest

from hollyring import declaration
from hollyring.configuration import documents, objects, state, validation

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


def load_example(name):
    spec = importlib.util.spec_from_file_location(name, EXAMPLES / f"{name}.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module.declare(24_000)


@pytest.fixture
def deployment():
    deployment = declaration.deployment("bohari", concurrent_loads=2)
    deployment.organisation("kigoma", rate=400, burst=40_000)
    return deployment


@pytest.mark.parametrize(
    ("name", "engines", "loads"), [("bohari", 6, 2), ("verrerie", 9, 3)], ids=["bohari", "verrerie"]
)
def test_example_declares_the_expected_objects(name, engines, loads):
    items = documents.decode(load_example(name).json()).objects
    configuration = state.Configuration().with_changes(1, "", items, [])
    kinds = [upstream.kind for upstream in configuration.upstreams.values()]
    assert validation.validate(items) == []
    assert (len(configuration.vms), len(configuration.organisations)) == (9, 5)
    assert len({vm.failure_domain for vm in configuration.vms.values()}) == 3
    assert [kinds.count(kind) for kind in ("engine", "cache_store", "service")] == [engines, 1, 3]
    assert configuration.deployment.concurrent_loads == loads


def test_printed_configuration_has_the_digest_not_the_secret(deployment, capsys):
    deployment.key("kigoma", "till-1", secret="demo-key-kigoma")
    deployment.print()
    printed = capsys.readouterr().out
    assert "demo-key-kigoma" not in printed
    assert objects.key_digest("demo-key-kigoma") in printed


@pytest.mark.parametrize(
    "arguments",
    [
        ("tabora", "till-1", "secret", ""),
        ("kigoma", "till-1", "", ""),
        ("kigoma", "till-1", "secret", "0" * 64),
    ],
)
def test_key_requires_a_declared_organisation_and_either_secret_or_digest(deployment, arguments):
    with pytest.raises(declaration.DeclarationError, match="till-1"):
        deployment.key(*arguments)


def test_duplicate_declaration_is_refused(deployment):
    with pytest.raises(declaration.DeclarationError, match="organisation/kigoma is declared twice"):
        deployment.organisation("kigoma", rate=1, burst=2000)


def documented_fields():
    page = EXAMPLES.parent / "docs" / "operators" / "configuration.md"
    rows = [line.split("|") for line in page.read_text().splitlines() if line.startswith("| `")]
    named = [(row[1].strip(" `"), row[2].strip(" `")) for row in rows]
    return [(name, default) for name, default in named if name.split(".")[0] in objects.KINDS]


def test_operators_page_lists_every_field_with_its_default():
    fields = []
    for kind, type_ in objects.KINDS.items():
        for field in msgspec.structs.fields(type_):
            default = "required" if field.required else msgspec.json.encode(field.default).decode()
            fields.append((f"{kind}.{field.name}", default))
    assert documented_fields() == fields
