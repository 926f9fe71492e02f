"""Guarantees with real processes: killed and frozen nodes, refused connections, a reclaim."""

import collections.abc
import concurrent.futures
import json
import pathlib
import signal

import httpx
import pytest

from plumarch.proof import processes

TOKEN = "okefenokee-release-token"
HEADERS = {"Authorization": f"Bearer {TOKEN}"}
BODY = {
    "model": "firmware-writer",
    "messages": [{"role": "user", "content": "Review the manifest."}],
    "max_tokens": 150,
    "seed": 5,
}
TICKETS = "/v1/services/queue-api/tickets"


@pytest.fixture
def system(tmp_path: pathlib.Path) -> collections.abc.Iterator[processes.System]:
    started = processes.System(tmp_path)
    started.service_ms = 400.0
    try:
        started.start()
        yield started
    finally:
        started.stop()


def result(system: processes.System, node: str, key: str) -> list[str]:
    """Return the words of a request's result, fetched from a node."""
    url = f"{system.url(node)}/v1/requests/{key}/result"
    answer = httpx.get(url, headers=HEADERS, timeout=40)
    assert answer.status_code == 200, answer.text
    words: list[str] = answer.json()["choices"][0]["message"]["content"].split()
    return words


def submit(system: processes.System, node: str, key: str) -> None:
    answer = httpx.post(
        system.url(node) + "/v1/requests",
        json=BODY,
        headers={**HEADERS, "Idempotency-Key": key},
        timeout=10,
    )
    assert answer.status_code == 202, answer.text
    assert answer.json()["weakened"] == ""


def ticket(system: processes.System, node: str, key: str) -> httpx.Response:
    headers = {**HEADERS, "Idempotency-Key": key}
    return httpx.post(system.url(node) + TICKETS, json={}, headers=headers, timeout=40)


def test_accepted_review_survives_a_killed_node(system: processes.System) -> None:
    submit(system, "hall-b-1", "whole")
    expected = result(system, "hall-b-1", "whole")
    submit(system, "hall-a-1", "review-1")
    system.process("hall-a-1").send_signal(signal.SIGKILL)
    assert result(system, "hall-c-1", "review-1") == expected
    assert len(expected) == 150


def test_frozen_node_that_resumes_runs_no_ticket_twice(system: processes.System) -> None:
    with concurrent.futures.ThreadPoolExecutor() as pool:
        first = pool.submit(ticket, system, "hall-a-1", "ticket-1")
        system.process("hall-a-1").send_signal(signal.SIGSTOP)
        others = [pool.submit(ticket, system, n, "ticket-1") for n in ("hall-b-1", "hall-c-1")]
        answers = [other.result() for other in others]
        system.process("hall-a-1").send_signal(signal.SIGCONT)
        answers.append(first.result())
    runs = system.executions().get("okefenokee-release ticket-1", 0)
    reported_not_run = [a.json()["not_run"] for a in answers if a.json().get("not_run")]
    assert runs <= 1
    assert not (runs and reported_not_run), [a.text for a in answers]


def test_refused_connection_is_retried_once_at_another_endpoint(system: processes.System) -> None:
    system.endpoint_processes["hall-a-queue"].send_signal(signal.SIGKILL)
    answer = ticket(system, "hall-a-1", "ticket-2")
    assert answer.status_code == 200, answer.text
    assert system.executions() == {"okefenokee-release ticket-2": 1}


def test_streams_survive_a_reclaimed_data_centre(system: processes.System) -> None:
    system.platform(
        "POST",
        "/control/reclaim",
        json={"names": ["hall-a-1", "hall-a-engine", "hall-a-queue"], "left_ms": 6000},
    )
    body = {**BODY, "stream": True, "max_tokens": 800}
    url = system.url("hall-a-1") + "/v1/chat/completions"
    words: list[str] = []
    last = "0"
    with httpx.stream("POST", url, json=body, headers=keyed("chat-1"), timeout=30) as answer:
        for line in answer.iter_lines():
            last = line.removeprefix("id: ") if line.startswith("id: ") else last
            words += content(line)
            if len(words) > 400:
                system.process("hall-a-1").send_signal(signal.SIGKILL)
                system.endpoint_processes["hall-a-engine"].send_signal(signal.SIGKILL)
                break
    url = system.url("hall-b-1") + "/v1/chat/completions"
    headers = {**keyed("chat-1"), "Last-Event-ID": last}
    with httpx.stream("POST", url, json=body, headers=headers, timeout=30) as answer:
        for line in answer.iter_lines():
            words += content(line)
    uninterrupted = httpx.post(
        url, json={**body, "stream": False}, headers=keyed("chat-2"), timeout=40
    )
    assert words == uninterrupted.json()["choices"][0]["message"]["content"].split()


def keyed(key: str) -> dict[str, str]:
    return {**HEADERS, "Idempotency-Key": key}


def content(line: str) -> list[str]:
    if not line.startswith("data: {"):
        return []
    choice = json.loads(line.removeprefix("data: "))["choices"][0]
    return (choice["delta"].get("content") or "").split()
