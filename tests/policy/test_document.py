"""Tests what a policy document can contain, and how it overrides a front's own files."""

from __future__ import annotations

import json
from typing import Any

import pytest

from tests.support.front_configuration import SETTINGS, configuration
from zincladder.config import ConfigError, parse_config
from zincladder.policy.document import (
    FrontFiles,
    difference,
    merged,
    overridden_keys,
    parse_policy,
    validation_reasons,
)

OWN = parse_config(configuration([]))
FILES = FrontFiles(OWN.raw, {"admission": {"rate": 5.0}})


def reasons_against(policy: Any, has_admission: bool = True) -> tuple[str, ...]:
    return validation_reasons(FILES, json.dumps(policy).encode(), OWN, has_admission)


@pytest.mark.parametrize(
    "policy, reason",
    [
        ({"settings": {"ceilings": {"attemptsCap": 0}}}, "attemptsCap"),
        ({"settings": {"az": 0}}, "'settings: zone' takes effect at a front's next start only"),
        ({"settings": {"categories": [{"name": "page"}]}}, "settings.categories[0]"),
        ({"limits": {"memory_mb": 1}}, "'limits': there is no such part, only settings, operator"),
        ({"operator": {"metrics": {"listen": "x"}}}, "'operator.metrics' can't be part of a policy"),
        ({"operator": {"admission": {"rate": -1}}}, "'admission.rate'"),
        ({}, "must be an object that is not empty"),
        ([], "must be an object that is not empty"),
    ],
)
def test_a_policy_that_a_front_cannot_apply_is_rejected_and_its_key_named(policy: Any, reason: str) -> None:
    (given,) = reasons_against(policy)
    assert reason in given


def test_a_policy_can_contain_admission_only_if_the_front_has_it_enabled() -> None:
    policy = {"operator": {"admission": {"rate": 7.0}}}
    assert reasons_against(policy) == ()
    assert "off at this front until its next start" in reasons_against(policy, has_admission=False)[0]


def test_a_document_that_is_not_json_is_rejected() -> None:
    with pytest.raises(ConfigError, match="no JSON"):
        parse_policy(b"{" * 5000)


def test_a_policy_overrides_a_fronts_files_key_by_key() -> None:
    settings = merged(SETTINGS, {"ceilings": {"attemptsCap": 3}, "categories": [1]})
    assert settings["ceilings"] == SETTINGS["ceilings"] | {"attemptsCap": 3}
    assert settings["categories"] == [1] and settings["domain"] == SETTINGS["domain"]
    assert SETTINGS["ceilings"]["attemptsCap"] == 8


def test_keys_that_the_policy_sets_and_a_file_has_changed_are_named() -> None:
    policy = {"settings": {"ceilings": {"attemptsCap": 3}}, "operator": {"admission": {"rate": 9.0}}}
    changed = merged(OWN.raw, {"settings": {"ceilings": {"attemptsCap": 5, "mayCancel": False}}})
    assert overridden_keys(FILES, FrontFiles(changed, FILES.operator), policy) == [
        "settings.ceilings.attemptsCap"
    ]
    assert overridden_keys(FILES, FrontFiles(OWN.raw, {"admission": {"rate": 6.0}}), policy) == [
        "operator.admission.rate"
    ]
    assert overridden_keys(FILES, FILES, policy) == []


def test_a_difference_lists_each_path_with_both_values() -> None:
    assert difference({"a": {"b": 1, "c": 2}}, {"a": {"b": 3}, "d": [1]}) == [
        ("a.b", 1, 3),
        ("a.c", 2, None),
        ("d", None, [1]),
    ]
