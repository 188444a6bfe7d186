"""Routing rules: parsing, editing and validating the document, matching requests."""

__all__ = [
    "EMPTY_DOCUMENT",
    "Action",
    "Decision",
    "Document",
    "InvalidDocument",
    "Organisation",
    "Pipeline",
    "PlainService",
    "Problem",
    "RequestFacts",
    "Rule",
    "Ruleset",
    "diff_documents",
    "key_digest",
    "parse_document",
    "patch_document",
    "shadowed_rules",
]

from wigeonscale.rules.checks import shadowed_rules
from wigeonscale.rules.diff import diff_documents
from wigeonscale.rules.document import EMPTY_DOCUMENT, Document
from wigeonscale.rules.editing import parse_document, patch_document
from wigeonscale.rules.matching import Ruleset
from wigeonscale.rules.model import (
    Action,
    Decision,
    Organisation,
    Pipeline,
    PlainService,
    RequestFacts,
)
from wigeonscale.rules.problems import InvalidDocument, Problem
from wigeonscale.rules.schema import Rule, key_digest
