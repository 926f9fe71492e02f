"""The software versions at which event streams began; a stream may go on only at its own.

Endpoints don't check this: what two versions write does not fit together.
"""

import dataclasses
from collections.abc import Sequence

from plumarch.core import traffic


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where a stream began.

    Attributes:
      version: software version of the endpoint; "" if it announces none.
    """

    service: str
    version: str

    def matching(self, endpoints: Sequence[traffic.Endpoint]) -> list[traffic.Endpoint]:
        """Return the endpoints at which the stream may go on."""
        found = [one for one in endpoints if one.service == self.service]
        return [one for one in found if one.version == self.version]


def of_endpoint(endpoint: traffic.Endpoint) -> Origin:
    """Return the origin of a stream that begins at an endpoint."""
    return Origin(endpoint.service, endpoint.version)
