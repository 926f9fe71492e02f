from plumarch.core import data
from plumarch.limits import fair_queue


def entry(number: int, workspace: str, kind: str = "chat", since: int = 0) -> fair_queue.Entry:
    return fair_queue.Entry(str(number), workspace, data.RequestClass(kind), "writer", 1.0, since)


def drain(queue: fair_queue.FairQueue, now: int = 0) -> list[str]:
    found = []
    while (taken := queue.pop(now, lambda _: True)) is not None:
        found.append(f"{taken.workspace}{taken.request_id}")
    return found


def test_classes_go_in_order_of_urgency() -> None:
    queue = fair_queue.FairQueue()
    for number, kind in enumerate(("review", "draft", "chat", "lookup")):
        queue.push(entry(number, "w", kind))
    assert drain(queue) == ["w3", "w2", "w1", "w0"]


def test_workspaces_share_by_weight_however_many_requests_they_send() -> None:
    queue = fair_queue.FairQueue()
    queue.weights = {"a": 2.0, "b": 1.0}
    for number in range(30):
        queue.push(entry(number, "a"))
    for number in range(30):
        queue.push(entry(number, "b"))
    first = drain(queue)[:15]
    assert sum(1 for name in first if name[0] == "a") == 10


def test_an_idle_workspace_accumulates_no_credit() -> None:
    queue = fair_queue.FairQueue()
    for number in range(20):
        queue.push(entry(number, "a"))
        queue.pop(0, lambda _: True)
    for number in range(4):
        queue.push(entry(number, "a"))
        queue.push(entry(number, "b"))
    assert sum(1 for name in drain(queue)[:4] if name[0] == "b") == 2


def test_requests_past_the_age_limit_go_before_chat() -> None:
    queue = fair_queue.FairQueue()
    queue.push(entry(0, "a", "review"))
    queue.push(entry(1, "b", "chat", fair_queue.AGE_LIMIT_MS + 1))
    queue.served = {"b": 1.0}
    assert drain(queue, fair_queue.AGE_LIMIT_MS + 1) == ["a0", "b1"]


def test_a_request_that_does_not_fit_blocks_no_other() -> None:
    queue = fair_queue.FairQueue()
    queue.push(entry(0, "a"))
    queue.push(entry(1, "b"))
    taken = queue.pop(0, lambda e: e.workspace == "b")
    assert taken is not None and taken.request_id == "1"
    assert queue.length() == 1
