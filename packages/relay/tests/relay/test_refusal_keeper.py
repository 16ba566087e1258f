"""Tests of refusals of prompt parts that outlive the entries."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import attrs

from lacewingcourse.core.pipelines.crashes import AnswerProgress
from lacewingcourse.core.pipelines.prompt_parts import PartHistory
from lacewingcourse.relay.ports import StoredRefusal, Unavailable
from lacewingcourse.relay.refusal_keeper import RefusalKeeper


@attrs.define
class FakeStore:
    """A store in memory.

    Attributes:
        records: Refusals by part.
        failures: Number of next calls that fail.
    """

    records: dict[str, StoredRefusal] = attrs.field(factory=dict)
    failures: int = 0

    def fail(self) -> Unavailable | None:
        self.failures -= 1
        return Unavailable("down") if self.failures >= 0 else None

    async def stored(self) -> list[StoredRefusal] | Unavailable:
        return self.fail() or list(self.records.values())

    async def store_refusal(self, refusal: StoredRefusal) -> Unavailable | None:
        failed = self.fail()
        if failed is None:
            self.records[refusal.part] = refusal
        return failed

    async def remove(self, part: str) -> Unavailable | None:
        failed = self.fail()
        if failed is None:
            self.records.pop(part, None)
        return failed


def keeper(store: FakeStore) -> RefusalKeeper:
    """Return the keeper of an entry that has just started."""
    log = SimpleNamespace(log_event=lambda event, **fields: None)
    return RefusalKeeper(store, PartHistory(), log, lambda: 10.0)


def refuse(found: RefusalKeeper) -> None:
    """Refuse a part whose companion may be the cause as well."""
    for name in "xyz":
        found.parts.record_loss(("q", "p"), name, AnswerProgress.BEGUN, 9.0)
    assert found.parts.judge(("q", "p"), 10.0) == "p"
    found.on_change("p")


def test_a_refusal_is_known_to_an_entry_that_starts_later():
    store = FakeStore()
    first, second = keeper(store), keeper(store)
    refuse(first)
    assert asyncio.run(first.store_pending())
    assert asyncio.run(second.load())
    assert second.parts.refused_part(("q", "p"), 11.0) == "p"
    assert second.parts.refused_part(("p",), 11.0) is None


def test_a_refusal_is_stored_once_the_store_is_back():
    store = FakeStore(failures=1)
    found = keeper(store)
    refuse(found)
    assert not asyncio.run(found.store_pending())
    assert asyncio.run(found.store_pending())
    assert set(store.records) == {"p"}


def test_a_lifted_refusal_is_removed():
    store = FakeStore()
    found = keeper(store)
    refuse(found)
    asyncio.run(found.store_pending())
    for part in found.parts.record_sound(("p",), 11.0):
        found.on_change(part)
    assert asyncio.run(found.store_pending())
    assert store.records == {}


def test_an_unavailable_store_is_read_again():
    store = FakeStore({"p": StoredRefusal("p", 1)}, failures=1)
    found = keeper(store)
    assert not asyncio.run(found.load())
    assert asyncio.run(found.load())
    assert found.parts.refused_part(("p",), 11.0) == "p"
