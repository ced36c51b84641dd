"""Names of the platform appear only in its adapter.

Guards against code that depends on the platform's formats elsewhere in the package.
"""

import re
from pathlib import Path

import pytest

import ragworthoist

PACKAGE = Path(ragworthoist.__file__).parent
NAMES = (
    "virtualHosts", "pathRules", "pathPrefix", "routeKind", "targetLatencyMs",
    "weightedSplit", "maxAttempts", "healthPath", "maxConnections", "coldLeftMs",
    "statusInfo", "nodeInfo", "beatAddress", "attempt-id", "deadline-ms",
    "expect-instance", "server-seal", "not-executed", "caller-service", "kv-txn",
    "server-limit", "server-leaving",
    "kv-range", "kv-watch", "kv-lease", "staleOk", "hasMore", "leaseId", "platformCfg",
)  # fmt: skip
# Headers of this project may contain such a name: `ragworthoist-deadline-ms`.
PATTERN = re.compile(r"(?<!ragworthoist-)(" + "|".join(NAMES) + ")", re.IGNORECASE)


@pytest.mark.parametrize(
    "path",
    [
        path
        for path in sorted(PACKAGE.rglob("*.py"))
        if path.relative_to(PACKAGE).parts[0] != "platform"
    ],
    ids=lambda path: str(path.relative_to(PACKAGE)),
)
def test_platform_names_appear_only_in_the_adapter(path):
    assert PATTERN.findall(path.read_text()) == []
