"""plumarch: the operators' command-line tool.

Exit codes: 0 success; 1 not in force everywhere, or a node not reached; 2 invalid input
or settings; 3 conflict with another operator's change; 4 the platform failed.
"""

import asyncio
import getpass
import json
import pathlib
import sys
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import fire
import httpx
import tabulate

from plumarch.cli import nodes, settings, stories
from plumarch.config import files, publishing
from plumarch.core import clock, errors, file_problems
from plumarch.object_api import client

EXIT_PARTIAL = 1
EXIT_INPUT = 2
EXIT_CONFLICT = 3
EXIT_PLATFORM = 4

Result = TypeVar("Result")


class Stop(Exception):
    """Ends the tool with an exit code."""

    def __init__(self, code: int) -> None:
        super().__init__(str(code))
        self.code = code


def _say(text: str) -> None:
    print(text, file=sys.stderr)


def _report(problems: list[file_problems.Problem], as_json: bool) -> None:
    """Print all problems and exit, if there are any."""
    if not problems:
        return
    for problem in problems:
        if as_json:
            fields = ("file", "line", "section", "key", "message", "remedy")
            print(json.dumps({name: getattr(problem, name) for name in fields}))
        else:
            print(problem.text())
    _say(f"{len(problems)} problems. Nothing was applied.")
    raise Stop(EXIT_INPUT)


def _table(rows: list[dict[str, Any]], as_json: bool) -> None:
    if as_json:
        print(json.dumps(rows))
    elif rows:
        print(tabulate.tabulate(rows, headers="keys"))
    else:
        print("(nothing)")


def _paths(given: tuple[str, ...]) -> list[str]:
    if not given:
        _say("Name files or folders. Remedy: plumarch check FILES")
        raise Stop(EXIT_INPUT)
    return [str(path) for path in given]


class Commands:
    """Operators' commands."""

    def __init__(self, settings_file: str = "") -> None:
        self._settings_file = settings_file

    def _settings(self) -> settings.Settings:
        return settings.load(self._settings_file)

    def _with_platform(self, work: Callable[[client.HttpPlatform], Awaitable[Result]]) -> Result:
        given = self._settings()

        async def run() -> Result:
            time = clock.MonotonicClock()
            platform = client.HttpPlatform(given.platform.url, given.platform.token, time)
            # The daemon's share of the call budget does not apply to an operator's command.
            platform.reads.balance = platform.writes.balance = float(1_000)
            try:
                return await work(platform)
            finally:
                await platform.close()

        return asyncio.run(run())

    def check(self, *paths: str, json: bool = False) -> None:
        """Validate files offline: all problems at once, with file and line."""
        documents = files.read(_paths(paths))
        _report(files.validate(documents), json)
        print(f"{len(documents.texts)} documents are valid.")

    def diff(self, *paths: str, prune: bool = False) -> None:
        """Show what applying files would change."""
        given = files.read(_paths(paths))
        _report(given.problems, False)

        async def compare(platform: client.HttpPlatform) -> tuple[int, list[str]]:
            current = await publishing.read_head(platform)
            old = await publishing.read_texts(platform, current.head.manifest)
            new = {**({} if prune else old), **given.texts}
            return current.head.revision, files.difference(old, new)

        revision, lines = self._with_platform(compare)
        print("\n".join(lines) if lines else "No difference.")
        print(f"In force: revision {revision}.")

    def apply(
        self,
        *paths: str,
        prune: bool = False,
        base: int = -1,
        wait: bool = False,
        note: str = "",
        author: str = "",
        timeout_s: float = 12.0,
    ) -> None:
        """Put files in force, all of them or none.

        Args:
          paths: files and folders.
          prune: remove documents that are not among them.
          base: apply only if this revision is the one in force.
          wait: wait until it is in force on every node that can be reached.
          note: a note for other operators.
          author: the operator's name; the login name if left out.
          timeout_s: maximum time to wait.
        """
        given = files.read(_paths(paths))
        _report(given.problems, False)

        async def publish(platform: client.HttpPlatform) -> int:
            current = await publishing.read_head(platform)
            if base >= 0 and current.head.revision != base:
                head = current.head
                raise publishing.ChangeConflict(
                    f"Revision {head.revision} by {head.author or 'somebody'} is in force, not"
                    f" {base}. Nothing was applied. Remedy: run `plumarch diff` and apply again."
                )
            wanted = await publishing.merged(platform, current, given, prune)
            _report(files.validate(wanted), False)
            if wanted.manifest() == current.head.manifest:
                return current.head.revision
            who = author or getpass.getuser()
            return await publishing.publish(platform, current, wanted, who, note)

        revision = self._with_platform(publish)
        print(f"Revision {revision} is durable on the platform.")
        if wait:
            self._wait_in_force(revision, timeout_s)

    def _wait_in_force(self, revision: int, timeout_s: float) -> None:
        given = self._settings()
        ages, missing = asyncio.run(
            nodes.wait_in_force(given.nodes, given.token, revision, timeout_s)
        )
        for name, waited_ms in sorted(ages.items()):
            print(f"In force on {name} after {waited_ms} ms.")
        for name, why in sorted(missing.items()):
            print(f"NOT in force on {name}: {why}.")
        if missing:
            raise Stop(EXIT_PARTIAL)

    def status(self, json: bool = False, gateways: str = "") -> None:
        """Show nodes, the revision in force on each and its age, and endpoints.

        Args:
          gateways: IP:port of gateways' metrics, separated by commas; shows, instead of the nodes,
            entries of the platform's store that they can't read, and quarantined requests.
        """
        if gateways:
            self._gateway_status([one.strip() for one in gateways.split(",") if one.strip()])
            return
        given = self._settings()
        found, missing = asyncio.run(nodes.statuses(given.nodes, given.token))
        if json:
            _table(list(found.values()), True)
        else:
            _table([nodes.node_row(status) for status in found.values()], False)
            print()
            _table(nodes.endpoint_rows(found), False)
        for name, why in sorted(missing.items()):
            _say(f"{name} was not reached: {why}.")
        if missing:
            raise Stop(EXIT_PARTIAL)

    def _gateway_status(self, addresses: list[str]) -> None:
        found, missing = asyncio.run(nodes.gateway_pages(addresses))
        for text in found.values():
            print(text, end="")
        for address, why in sorted(missing.items()):
            _say(f"{address} was not reached: {why}. Remedy: give the address of its metrics.")
        if missing:
            raise Stop(EXIT_PARTIAL)

    def explain(self, request: str, json: bool = False) -> None:
        """Show a request's decisions from arrival to answer, by its id or key."""
        given = self._settings()
        decisions, missing = asyncio.run(nodes.decisions(given.nodes, given.token, request))
        if json:
            _table(decisions, True)
        else:
            for decision in decisions:
                print(nodes.decision_text(decision))
        for name, why in sorted(missing.items()):
            _say(f"{name} was not reached: {why}.")
        if not decisions:
            _say(f"No node remembers {request}. Remedy: check the id; old ones are forgotten.")
            raise Stop(EXIT_PARTIAL)

    def story(self, request: str, *logs: str) -> None:
        """Show the log lines of a request from gateways' logs, by its id, key or fingerprint.

        Args:
          logs: log files of any number of nodes.
        """
        lines: list[stories.Line] = []
        for name in logs:
            try:
                text = pathlib.Path(name).read_text(encoding="utf-8", errors="replace")
            except OSError as error:
                _say(f"{name} can't be read: {error.strerror}. Remedy: name a log file.")
                raise Stop(EXIT_INPUT) from error
            lines += stories.parse(text.splitlines())
        found = stories.story(lines, str(request))
        if not found:
            _say(f"No log names {request}. Remedy: give the logs of all nodes of that time.")
            raise Stop(EXIT_PARTIAL)
        print(stories.render(found))

    def watch(self, workspace: str = "", json: bool = False) -> None:
        """Show decisions as they are made, of one workspace or all."""
        given = self._settings()

        def show(line: dict[str, Any]) -> None:
            text = _json_line(line) if json else nodes.decision_text(line)
            print(text, flush=True)

        asyncio.run(nodes.watch(given.nodes, given.token, workspace, show))

    def vms(self, json: bool = False) -> None:
        """Show the VMs in use, and the wanted ones with reasons by the deciding node."""
        given = self._settings()
        found, missing = asyncio.run(nodes.statuses(given.nodes, given.token))
        _table(nodes.vm_rows(found), json)
        decider = nodes.decider(found)
        if decider is not None and not json:
            print(f"\nDecided by {decider['node']}:\n")
            _table(decider["wanted"], False)
            print("\n" + "\n".join(decider["orders"]))
        if missing and not found:
            raise Stop(EXIT_PARTIAL)


def _json_line(line: dict[str, Any]) -> str:
    return json.dumps(line)


def main() -> None:
    """Run the tool from the command line."""
    try:
        _run()
    except Stop as stop:
        sys.exit(stop.code)
    except errors.SettingsError as error:
        _say(str(error))
        sys.exit(EXIT_INPUT)
    except publishing.ChangeConflict as error:
        _say(str(error))
        sys.exit(EXIT_CONFLICT)
    except (errors.PlatformError, httpx.HTTPError) as error:
        _say(f"The platform did not do it: {error}")
        sys.exit(EXIT_PLATFORM)
    except KeyboardInterrupt:
        sys.exit(0)


def _run() -> None:
    arguments = sys.argv[1:]
    settings_file = ""
    if arguments[:1] == ["--settings"] and len(arguments) > 1:
        settings_file = arguments[1]
        arguments = arguments[2:]
    fire.Fire(Commands(settings_file), command=arguments, name="plumarch")


if __name__ == "__main__":
    main()
