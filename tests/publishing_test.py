"""Publishing a configuration: concurrent operators, lost answers, invalid files."""

import asyncio
import dataclasses
import random

import pytest

from plumarch.config import files, publishing
from plumarch.core import data, errors
from plumarch.object_api import protocol
from plumarch.standins import objects

TEMPLATE = "[template]\nname = desk\n"


@dataclasses.dataclass
class MemoryPlatform:
    """The object API in memory; the answers of the writes numbered in lost_answers are lost."""

    store: objects.ObjectStore
    lost_answers: set[int] = dataclasses.field(default_factory=set)
    writes: int = 0
    down: bool = False

    async def get(self, name: str) -> protocol.Object:
        found = self.store.get(name)
        if found is None:
            raise errors.PlatformAbsent(name)
        return protocol.Object(name, found.version, found.value)

    async def put(self, name: str, value: bytes, expected_version: int) -> int:
        if self.down:
            raise errors.PlatformUnavailable("down")
        self.writes += 1
        try:
            version = self.store.put(name, value, expected_version)
        except objects.Conflict as error:
            raise errors.PlatformConflict(name) from error
        if self.writes in self.lost_answers:
            raise errors.PlatformAnswerLost(name)
        return version

    async def watch(self, prefix: str, since: int, wait_ms: int) -> protocol.Change:
        raise NotImplementedError

    async def vms(self) -> protocol.VmList:
        raise NotImplementedError

    async def order(self, order: protocol.Order) -> protocol.OrderAnswer:
        raise NotImplementedError

    async def offers(self) -> list[data.Offer]:
        raise NotImplementedError

    async def notices(self, since: int) -> list[protocol.Notice]:
        raise NotImplementedError


def platform() -> MemoryPlatform:
    return MemoryPlatform(objects.ObjectStore(random.Random(1)))


def documents(name: str = "desk") -> files.Documents:
    return files.Documents({f"template/{name}": TEMPLATE.replace("desk", name)})


def test_conflict_names_the_operator_who_published_first() -> None:
    async def race() -> None:
        where = platform()
        current = await publishing.read_head(where)
        await publishing.publish(where, current, documents("one"), "anna", "first")
        with pytest.raises(publishing.ChangeConflict) as conflict:
            await publishing.publish(where, current, documents("two"), "bert", "second")
        assert "anna" in str(conflict.value) and "template/one" in str(conflict.value)
        assert "Remedy" in str(conflict.value)
        head = (await publishing.read_head(where)).head
        assert list(head.manifest) == ["template/one"]

    asyncio.run(race())


@pytest.mark.parametrize("lost", [{1}, {2}, {1, 3}, {2, 3}])
def test_lost_answer_neither_fails_nor_repeats_a_change(lost: set[int]) -> None:
    async def apply() -> None:
        where = platform()
        where.lost_answers = lost
        current = await publishing.read_head(where)
        assert await publishing.publish(where, current, documents(), "anna", "") == 1
        assert (await publishing.read_head(where)).head.revision == 1

    asyncio.run(apply())


def test_nothing_is_published_during_a_platform_outage() -> None:
    async def apply() -> None:
        where = platform()
        current = await publishing.read_head(where)
        where.down = True
        with pytest.raises(errors.PlatformUnavailable):
            await publishing.publish(where, current, documents(), "anna", "")
        assert (await publishing.read_head(where)).head.revision == 0

    asyncio.run(apply())


BAD = """[workspace]
name = Big Name
template = none
weight = heavy
colour = red
token_sha256 = abc
[class.chatter]
first_token_ms = 1
[service.tickets]
not_repeatable = PUSH /x
[unknown]
"""


def test_validation_reports_all_problems_with_their_lines(tmp_path) -> None:  # type: ignore[no-untyped-def]
    path = tmp_path / "bad.ini"
    path.write_text(BAD)
    problems = files.validate(files.read([str(path)]))
    found = {(p.line, p.section, p.key) for p in problems}
    assert found == {
        (2, "workspace", "name"),
        (4, "workspace", "weight"),
        (5, "workspace", "colour"),
        (6, "workspace", "token_sha256"),
        (1, "workspace", "model"),
        (7, "class.chatter", ""),
        (10, "service.tickets", "not_repeatable"),
        (11, "unknown", ""),
    }
    assert all(problem.remedy and problem.file == str(path) for problem in problems)
