"""Requests to the operators' listeners of the entry nodes."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import httpx
import msgspec

REQUEST_TIMEOUT_S = 2.0
POLL_S = 0.1

Found = dict[str, dict[str, Any]]
Missing = dict[str, str]


def _client(token: str) -> httpx.AsyncClient:
    return httpx.AsyncClient(
        headers={"Authorization": f"Bearer {token}"}, timeout=REQUEST_TIMEOUT_S
    )


async def _ask(
    http: httpx.AsyncClient, address: str, path: str, params: dict[str, str]
) -> tuple[Any, str]:
    """Return a node's answer and "", or None and the reason."""
    try:
        answer = await http.get(f"http://{address}{path}", params=params)
    except httpx.HTTPError as error:
        return None, type(error).__name__
    if answer.status_code != httpx.codes.OK:
        return None, f"status {answer.status_code}"
    return msgspec.json.decode(answer.content), ""


async def statuses(addresses: dict[str, str], token: str) -> tuple[Found, Missing]:
    """Return the nodes' statuses, and the reason for each that is missing."""
    found: Found = {}
    missing: Missing = {}
    async with _client(token) as http:
        requests = [_ask(http, address, "/status", {}) for address in addresses.values()]
        for name, (status, why) in zip(addresses, await asyncio.gather(*requests), strict=True):
            if status is None:
                missing[name] = why
            else:
                found[name] = status
    return found, missing


async def gateway_pages(addresses: list[str]) -> tuple[dict[str, str], Missing]:
    """Return the gateways' status pages, and the reason for each that is missing.

    Args:
      addresses: IP:port of their metrics.
    """
    found: dict[str, str] = {}
    missing: Missing = {}
    async with httpx.AsyncClient(timeout=REQUEST_TIMEOUT_S) as http:
        for address in addresses:
            try:
                answer = await http.get(f"http://{address}/status")
            except httpx.HTTPError as error:
                missing[address] = type(error).__name__
                continue
            if answer.status_code == httpx.codes.OK:
                found[address] = answer.text
            else:
                missing[address] = f"status {answer.status_code}"
    return found, missing


async def wait_in_force(
    addresses: dict[str, str], token: str, revision: int, timeout_s: float
) -> tuple[dict[str, int], Missing]:
    """Wait until a revision is in force on every node.

    Returns:
      Milliseconds until it was in force on each node, and the reason for each where it is not.
    """
    start = time.monotonic()
    ages: dict[str, int] = {}
    while True:
        found, missing = await statuses(addresses, token)
        waited_ms = int((time.monotonic() - start) * 1000)
        for name, status in found.items():
            if status["revision"] >= revision:
                ages.setdefault(name, waited_ms)
            else:
                missing[name] = f"revision {status['revision']} is"
        missing = {name: why for name, why in missing.items() if name not in ages}
        if not missing or waited_ms > timeout_s * 1000:
            return ages, missing
        await asyncio.sleep(POLL_S)


async def decisions(
    addresses: dict[str, str], token: str, request: str
) -> tuple[list[dict[str, Any]], Missing]:
    """Return all nodes' decisions about a request, in order for each node."""
    found: list[dict[str, Any]] = []
    missing: Missing = {}
    async with _client(token) as http:
        for name, address in addresses.items():
            answer, why = await _ask(http, address, "/decisions", {"request_id": request})
            if answer is None:
                missing[name] = why
            else:
                found += answer
    return found, missing


async def watch(
    addresses: dict[str, str],
    token: str,
    workspace: str,
    show: Callable[[dict[str, Any]], None],
) -> None:
    """Show the decisions of all nodes until the connections end."""

    async def follow(address: str) -> None:
        async with (
            httpx.AsyncClient(headers={"Authorization": f"Bearer {token}"}) as http,
            http.stream(
                "GET",
                f"http://{address}/watch",
                params={"workspace": workspace},
                timeout=httpx.Timeout(REQUEST_TIMEOUT_S, read=None),
            ) as answer,
        ):
            async for line in answer.aiter_lines():
                show(msgspec.json.decode(line))

    results = await asyncio.gather(
        *(follow(address) for address in addresses.values()), return_exceptions=True
    )
    for result in results:
        if isinstance(result, BaseException) and not isinstance(result, httpx.HTTPError):
            raise result


def node_row(status: dict[str, Any]) -> dict[str, Any]:
    """Return a node's row of the status table; fields that an earlier build lacks are empty."""
    names = (
        "node",
        "data_centre",
        "state",
        "revision",
        "revision_age_ms",
        "platform_age_ms",
        "runs",
        "queued",
        "copies",
        "slots",
        "uncertain_slots",
    )
    return {name: status.get(name, "") for name in names}


def endpoint_rows(found: Found) -> list[dict[str, Any]]:
    """Return the endpoints' rows, each with the highest load that a node reports."""
    rows: dict[str, dict[str, Any]] = {}
    for status in found.values():
        for endpoint in status["endpoints"]:
            row = rows.setdefault(endpoint["name"], {**endpoint, "load": 0})
            row["load"] = max(row["load"], endpoint["load"])
            row["targets"] = ", ".join(endpoint["targets"])
            if endpoint["state"] != "live":
                row["state"] = endpoint["state"]
    return [rows[name] for name in sorted(rows)]


def vm_rows(found: Found) -> list[dict[str, Any]]:
    """Return the rows of the VM table."""
    names = ("name", "data_centre", "vm_class", "reclaimable", "price", "state", "load", "capacity")
    return [{name: row[name] for name in names} for row in endpoint_rows(found)]


def decider(found: Found) -> dict[str, Any] | None:
    """Return the status of the node that decides on VMs, if any."""
    for status in found.values():
        if status["decides"]:
            return status
    return None


def decision_text(decision: dict[str, Any]) -> str:
    """Return a decision as text."""
    head = (
        f"{decision['at_ms'] / 1000:12.3f} {decision['node']:28} {decision['workspace']:20}"
        f" {decision['kind']:8} {decision['choice']}: {decision['why']}"
    )
    others = [
        f"{'':14}{c['endpoint']}: {c['note'] or format(c['score'], '.1f')}"
        for c in decision["considered"]
    ]
    return "\n".join([head, *others])
