"""The kinds of datagrams that other nodes read: nodes of earlier builds know fewer.

A node's build reports the highest tag that it reads, or shows it by what it sends.
"""

import dataclasses
from collections.abc import Iterable

COMMON_TAG = 6
"""Highest tag that all builds in service read."""

NEWEST_TAGS = (9, 11, 14, 15)
"""Highest tags of the builds that added kinds, ascending; a build reads all kinds up to its own."""

MAX_PROCESSES = 1_024


@dataclasses.dataclass(slots=True)
class ReadingProcess:
    """A node's process.

    Attributes:
      incarnation: start of the process, or 0 before its first report.
      newest_tag: highest tag that it certainly reads.
    """

    incarnation: int = 0
    newest_tag: int = COMMON_TAG


@dataclasses.dataclass(slots=True)
class ReadableTags:
    """The highest tags that other nodes read, by address."""

    processes: dict[str, ReadingProcess] = dataclasses.field(default_factory=dict)

    def apply_report(self, address: str, incarnation: int, newest_tag: int) -> None:
        """Apply what a process reports.

        Args:
          newest_tag: 0 from builds that don't report it.
        """
        process = self._process(address)
        if process.incarnation != incarnation:
            process.incarnation, process.newest_tag = incarnation, COMMON_TAG
        process.newest_tag = max(process.newest_tag, newest_tag)

    def note_sent_by(self, address: str, tag: int) -> None:
        """Record that a node sent a kind of datagram, and so reads those of its build."""
        if tag > COMMON_TAG:
            process = self._process(address)
            proved = next((newest for newest in NEWEST_TAGS if tag <= newest), COMMON_TAG)
            process.newest_tag = max(process.newest_tag, proved)

    def _process(self, address: str) -> ReadingProcess:
        process = self.processes.get(address)
        if process is None:
            while len(self.processes) >= MAX_PROCESSES:
                del self.processes[next(iter(self.processes))]
            process = self.processes[address] = ReadingProcess()
        return process

    def reads(self, address: str, tag: int) -> bool:
        """Return whether the node at an address is known to read a kind of datagram."""
        process = self.processes.get(address)
        return tag <= (process.newest_tag if process is not None else COMMON_TAG)

    def readers(self, addresses: Iterable[str], tag: int) -> Iterable[str]:
        """Return the addresses of nodes that are known to read a kind of datagram."""
        if tag <= COMMON_TAG:
            return addresses
        return [one for one in addresses if self.reads(one, tag)]
