"""The links between the pages lead somewhere."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGES = sorted([ROOT / "README.md", *(ROOT / "docs").rglob("*.md")])


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_somewhere(page):
    links = re.findall(r"\]\(([^)#\s]+)[^)]*\)", page.read_text())
    missing = [
        link
        for link in links
        if "://" not in link and not (page.parent / link).exists()
    ]
    assert missing == []
