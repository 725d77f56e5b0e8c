"""Validation of configurations: a typed error reports every problem with its path."""

import json
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidpath.state.configuration_checks.path_patterns import PatternIndex
from orchidpath.state.configuration_checks.validation import parse_configuration, validate
from orchidpath.state.configuration_checks.validation_problems import InvalidConfigurationError
from orchidpath.wire.configuration import Configuration


def valid() -> dict[str, Any]:
    return {
        "services": [
            {
                "name": "wine",
                "kind": "model",
                "models": ["wine-1"],
                "prefill_workers": 2,
                "decode_workers": 3,
            },
            {"name": "stock", "kind": "plain"},
        ],
        "routes": [
            {"name": "chat", "service": "wine", "model": "wine-1", "deadline_seconds": 20},
            {"name": "lookup", "service": "stock", "method": "GET", "path": "/stock/{item}"},
            {"name": "list", "service": "stock", "method": "GET", "path": "/stock"},
            {"name": "reserve", "service": "stock", "method": "POST", "path": "/stock/{item}"},
        ],
        "retry": {"budget_ratio": 0.2},
    }


def problem_paths(document: object) -> list[str]:
    with pytest.raises(InvalidConfigurationError) as raised:
        parse_configuration(json.dumps(document).encode())
    return [problem.path for problem in raised.value.problems]


def changed(path: str, value: object) -> dict[str, Any]:
    """Return the valid document with one value replaced.

    ``path`` is the path of that value: keys and list positions, separated by slashes.
    """
    document = valid()
    *parents, last = [int(key) if key.isdigit() else key for key in path.split("/")]
    parent: Any = document
    for key in parents:
        parent = parent.setdefault(key, {}) if isinstance(parent, dict) else parent[int(key)]
    parent[last] = value
    return document


def test_a_valid_configuration_is_decoded_unchanged() -> None:
    configuration = parse_configuration(json.dumps(valid()).encode())
    assert configuration == msgspec.convert(valid(), Configuration)
    assert validate(configuration) == []
    assert parse_configuration(b"{}") == Configuration()


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        ("surprise", 1, "surprise"),
        ("services/0/kindd", "model", "services[0].kindd"),
        ("services", {}, "services"),
        ("services/1", 7, "services[1]"),
        ("services/1/name", 7, "services[1].name"),
        ("services/1/name", "", "services[1].name"),
        ("services/1/name", "a\nb", "services[1].name"),
        ("services/1/kind", "other", "services[1].kind"),
        ("services/0/models/0", None, "services[0].models[0]"),
        ("services/0/models", ["wine-1", "wine-1"], "services[0].models[1]"),
        ("services/0/prefill_workers", 0, "services[0].prefill_workers"),
        ("services/0/decode_workers", 0, "services[0].decode_workers"),
        ("services/0/decode_workers", -1, "services[0].decode_workers"),
        ("services/0/decode_workers", 1.5, "services[0].decode_workers"),
        ("services/0/decode_workers", True, "services[0].decode_workers"),
        ("services/0/decode_workers", 10**30, "services[0].decode_workers"),
        ("services/1/prefill_workers", 1, "services[1].decode_workers"),
        ("services/1/models", ["m"], "services[1].models"),
        ("routes/0/service", "missing", "routes[0].service"),
        ("routes/0/model", "", "routes[0].model"),
        ("routes/0/model", "wine-2", "routes[0].model"),
        ("routes/0/method", "GET", "routes[0].method"),
        ("routes/0/path", "/x", "routes[0].path"),
        ("routes/0/deadline_seconds", 0, "routes[0].deadline_seconds"),
        ("routes/0/deadline_seconds", "20", "routes[0].deadline_seconds"),
        ("routes/0/deadline_seconds", 10**400, "routes[0].deadline_seconds"),
        ("routes/0/stall_timeout_seconds", -1, "routes[0].stall_timeout_seconds"),
        ("routes/1/name", "chat", "routes[1].name"),
        ("routes/1/model", "wine-1", "routes[1].model"),
        ("routes/1/method", "get", "routes[1].method"),
        ("routes/1/path", "stock", "routes[1].path"),
        ("routes/1/path", "/stock//x", "routes[1].path"),
        ("routes/1/path", "/stock/{}", "routes[1].path"),
        ("routes/1/path", "/stock/a{b}", "routes[1].path"),
        ("routes/1/path", "/stock/../x", "routes[1].path"),
        ("routes/1/path", "/a" * 65, "routes[1].path"),
        ("routes/1/repeat_prompt_read", True, "routes[1].repeat_prompt_read"),
        ("routes/1/repeatable", "yes", "routes[1].repeatable"),
        ("routes/2/path", "/stock/{other}", "routes[2].path"),
        ("routes/2/path", "/{any}/7", "routes[2].path"),
        ("routes/2/path", "/stock/7", "routes[2].path"),
        ("circuit", [], "circuit"),
        ("circuit/allowed_fails", 0, "circuit.allowed_fails"),
        ("circuit/cooldown_seconds", -0.0, "circuit.cooldown_seconds"),
        ("circuit/max_cooldown_seconds", 1, "circuit.max_cooldown_seconds"),
        ("retry/max_attempts", 0, "retry.max_attempts"),
        ("retry/budget_ratio", 1.01, "retry.budget_ratio"),
        ("retry/budget_ratio", -0.01, "retry.budget_ratio"),
        ("retry/backoff_cap_seconds", 0.01, "retry.backoff_cap_seconds"),
        ("admission/max_tenant_share", 0, "admission.max_tenant_share"),
        ("admission/load_bound_factor", 0.9, "admission.load_bound_factor"),
        ("admission/max_requests_in_flight", 0, "admission.max_requests_in_flight"),
    ],
)
def test_each_error_is_reported_at_its_path(path: str, value: object, expected: str) -> None:
    assert expected in problem_paths(changed(path, value))


def test_all_errors_are_reported_at_once_and_unreadable_parts_cause_no_others() -> None:
    document = valid()
    document["surprise"] = 1
    document["services"][0]["models"] = "wine-1"
    document["services"][1]["kind"] = 3
    del document["routes"][0]["name"]
    document["routes"][1]["service"] = 5
    document["routes"][2]["service"] = "missing"
    document["routes"][3]["deadline_seconds"] = -3
    document["retry"]["budget_ratio"] = 2
    assert problem_paths(document) == [
        "retry.budget_ratio",
        "routes[0].name",
        "routes[1].service",
        "routes[2].service",
        "routes[3].deadline_seconds",
        "services[0].models",
        "services[1].kind",
        "surprise",
    ]
    assert problem_paths([]) == [""]
    assert problem_paths({"services": 3, "routes": valid()["routes"]}) == ["services"]


def test_paths_that_cannot_match_one_request_are_not_ambiguous() -> None:
    document = valid()
    routes = document["routes"]
    paths = ["/", "/stock/", "/stock/{item}/lots", "/stock/{item}/lots/{lot}", "/{other}"]
    for number, path in enumerate(paths):
        method = "GET" if path != "/{other}" else "DELETE"
        routes.append({"name": f"n{number}", "service": "stock", "method": method, "path": path})
    parse_configuration(json.dumps(document).encode())


def test_two_routes_for_one_model_are_ambiguous() -> None:
    document = valid()
    document["routes"].append({"name": "again", "service": "wine", "model": "wine-1"})
    assert problem_paths(document) == ["routes[4].model"]


def test_thousands_of_routes_are_checked_without_comparing_all_pairs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    visits = 0
    visit = PatternIndex._owners

    def count_visit(self: PatternIndex, node: Any, segments: tuple[str, ...]) -> Iterator[int]:
        nonlocal visits
        visits += 1
        return visit(self, node, segments)

    monkeypatch.setattr(PatternIndex, "_owners", count_visit)
    document = valid()
    document["routes"] = [
        {"name": f"r{number}", "service": "stock", "method": "GET", "path": f"/p{number}/{{id}}"}
        for number in range(5000)
    ]
    parse_configuration(json.dumps(document).encode())
    assert visits <= 3 * 5000


@pytest.mark.parametrize(
    "raw",
    [b"", b"{", b"\xff\xfe", b'{"services": NaN}', b'"\\ud800"', b"[" * 100_000, b"1e999", b"null"],
)
def test_undecodable_bytes_raise_the_typed_error(raw: bytes) -> None:
    with pytest.raises(InvalidConfigurationError):
        parse_configuration(raw)


scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=8),
    st.sampled_from(["model", "plain", "wine", "stock", "wine-1", "GET", "/stock/{item}", "/{"]),
)
field_names = st.sampled_from(
    [
        "services",
        "routes",
        "circuit",
        "retry",
        "admission",
        "name",
        "kind",
        "models",
        "service",
        "model",
        "method",
        "path",
        "deadline_seconds",
        "budget_ratio",
        "prefill_workers",
        "extra",
    ]
)
documents = st.recursive(
    scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4), st.dictionaries(field_names, inner, max_size=6)
    ),
    max_leaves=30,
)
shaped_documents = st.fixed_dictionaries(
    {},
    optional={
        "services": st.lists(st.dictionaries(field_names, documents, max_size=6), max_size=3),
        "routes": st.lists(st.dictionaries(field_names, documents, max_size=6), max_size=3),
        "retry": documents,
        "circuit": documents,
    },
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.one_of(documents, shaped_documents))
def test_any_document_is_either_valid_or_rejected_with_problems(document: object) -> None:
    raw = json.dumps(document).encode()
    try:
        configuration = parse_configuration(raw)
    except InvalidConfigurationError as error:
        assert error.problems
        assert len(set(error.problems)) == len(error.problems)
    else:
        assert validate(configuration) == []
        assert msgspec.json.decode(msgspec.json.encode(configuration), type=Configuration)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=60))
def test_any_bytes_are_either_valid_or_rejected(raw: bytes) -> None:
    try:
        parse_configuration(raw)
    except InvalidConfigurationError as error:
        assert error.problems
