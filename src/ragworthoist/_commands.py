"""The command line.

Exit codes: 0 success, 1 the command failed, 2 wrong usage, 3 invalid settings or
configuration, 4 another operator's change was accepted first, 5 the store or a node
did not answer.
"""

import gc
import getpass
import json
import signal
import sys
import time
import tomllib
from pathlib import Path

import anyio

from ragworthoist._document import validate_document
from ragworthoist._registry import Registry
from ragworthoist._settings import load_settings
from ragworthoist.events import add_filter
from ragworthoist.exceptions import (
    ConflictError,
    DocumentError,
    InputError,
    OperatorsError,
    RagworthoistError,
    StoreError,
)

EXIT_FAILED = 1
EXIT_INPUT = 3
EXIT_CONFLICT = 4
EXIT_UNREACHABLE = 5
WAIT_TIMEOUT_SECONDS = 30.0
WAIT_POLL_SECONDS = 0.5
OPERATORS_TIMEOUT_SECONDS = 10.0
# Thresholds of the garbage collector: allocations until the youngest generation is
# collected, and collections of a generation until the next older one is.
GC_YOUNG_ALLOCATIONS = 20_000
GC_MIDDLE_COLLECTIONS = 20
GC_OLD_COLLECTIONS = 20

edges = Registry("edge")
node_readers = Registry("node reader")
status_printers = Registry("status printer")

_EXIT_CODES = (
    (InputError, EXIT_INPUT),
    (ConflictError, EXIT_CONFLICT),
    (StoreError, EXIT_UNREACHABLE),
    (OperatorsError, EXIT_UNREACHABLE),
)


def run_command(arguments=None):
    """Run one command and return its exit code."""
    # Imported here, because a node that is started directly does not need it.
    import defopt

    commands = {
        "node": run_node,
        "check": check,
        "defaults": {"show": show, "edit": edit, "apply": apply},
        "exceptions": {"list": list_, "add": add, "remove": remove},
        "status": status,
        "dump": dump,
        "version": version,
    }
    try:
        defopt.run(commands, argv=arguments, cli_options="has_default")
    except RagworthoistError as error:
        print(f"{type(error).__name__}: {error}", file=sys.stderr)
        for error_type, code in _EXIT_CODES:
            if isinstance(error, error_type):
                return code
        return EXIT_FAILED
    return 0


def run_node(settings: Path):
    """Run the node beside one backend server until it is asked to stop.

    :param settings: TOML file with the settings of the node
    """
    import eliot

    loaded = load_settings(settings)
    if loaded.log.path:
        eliot.to_file(open(loaded.log.path, "a"))  # noqa: SIM115
    elif loaded.edge == "attempts":
        from ragworthoist._logs import LogWriter

        writer = LogWriter(sys.stdout.fileno(), loaded.log)
        add_filter(writer.admit)
        eliot.add_destinations(writer)
    else:
        eliot.to_file(sys.stderr)
    make_node = edges.get(loaded.edge)
    options = {"use_uvloop": True}
    anyio.run(_run_node, make_node, loaded, settings, backend_options=options)


@edges.register("tickets")
def _make_ticket_node(settings, _path):
    from ragworthoist._node import Node

    return Node(settings)


@edges.register("attempts")
def _make_attempt_node(settings, path):
    from ragworthoist.edge.node import EdgeNode

    return EdgeNode(settings, path)


async def _run_node(make_node, settings, path):
    node = make_node(settings, path)
    _reduce_garbage_collection()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_handle_signals, node)
        await node.run()
        tasks.cancel_scope.cancel()


def _reduce_garbage_collection():
    # Objects that exist by now live until the process ends; scanning them in every
    # collection would delay calls.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG_ALLOCATIONS, GC_MIDDLE_COLLECTIONS, GC_OLD_COLLECTIONS)


async def _handle_signals(node):
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
    with anyio.open_signal_receiver(*signals) as received:
        async for number in received:
            if number == signal.SIGUSR1:
                print(json.dumps(node.dump_state()), file=sys.stderr, flush=True)
            elif number == signal.SIGHUP:
                node.reload()
            else:
                node.start_leaving()


def check(path: Path, *, configuration: bool = False):
    """Check a settings file, or a configuration file, and report the first error.

    :param path: the TOML file to check
    :param configuration: the file has defaults and exceptions, not settings
    """
    if configuration:
        validate_document(_read_toml(path), str(path))
    else:
        load_settings(path)
    print(f"{path}: no fault found")


def show(settings: Path, *, as_json: bool = False):
    """Show the defaults in the store.

    :param settings: TOML file with the settings of any node of the fleet
    :param as_json: print JSON
    """
    document, _ = _run_with_store(settings, _read_document)
    values = document.model_dump(mode="json")
    if as_json:
        _print_json({"version": document.version, "defaults": values["defaults"]})
        return
    print(f"version {document.version}")
    kinds = values["defaults"].pop("kinds")
    _print_table(("field", "value"), values["defaults"].items())
    if kinds:
        print()
        _print_table(tuple(kinds[0]), (kind.values() for kind in kinds))


def edit(settings: Path, *assignments: str, author: str = "", wait: bool = False):
    """Change single fields of the defaults.

    :param settings: TOML file with the settings of any node of the fleet
    :param assignments: fields and values, such as retries=3 or order='"first_in"'
    :param author: author of the change, the login name by default
    :param wait: print the progress until the change is in force on every node
    """
    changes = dict(_parse_assignment(text) for text in assignments)

    def apply_changes(values):
        values["defaults"] |= changes

    _submit_change(settings, apply_changes, author, " ".join(assignments), wait)


def apply(settings: Path, path: Path, *, author: str = "", wait: bool = False):
    """Replace all defaults and exceptions by those in a file.

    :param settings: TOML file with the settings of any node of the fleet
    :param path: TOML file with a `defaults` table and `exceptions`
    :param author: author of the change, the login name by default
    :param wait: print the progress until the change is in force on every node
    """
    wanted = validate_document(_read_toml(path), str(path)).model_dump(mode="json")

    def replace(values):
        values["defaults"] = wanted["defaults"]
        values["exceptions"] = wanted["exceptions"]

    _submit_change(settings, replace, author, f"apply {path.name}", wait)


def list_(settings: Path, *, as_json: bool = False):
    """List the exceptions with their reasons.

    :param settings: TOML file with the settings of any node of the fleet
    :param as_json: print JSON
    """
    document, _ = _run_with_store(settings, _read_document)
    rules = [rule.model_dump(mode="json") for rule in document.exceptions]
    if as_json:
        _print_json(rules)
        return
    columns = ("name", "kind", "service", "set", "author", "expires", "reason")
    _print_table(columns, ([rule[c] for c in columns] for rule in rules))


def add(
    settings: Path,
    name: str,
    *assignments: str,
    reason: str,
    kind: str = "",
    service: str = "",
    expires: str = "",
    author: str = "",
    wait: bool = False,
):
    """Add an exception to the defaults.

    :param settings: TOML file with the settings of any node of the fleet
    :param name: name of the exception
    :param assignments: fields and values that it sets, such as deadline_ms=500
    :param reason: why the exception is needed
    :param kind: the kind of request it applies to
    :param service: the service it applies to
    :param expires: when it expires, such as 2026-01-31T12:00:00Z
    :param author: author of the exception, the login name by default
    :param wait: print the progress until the change is in force on every node
    """
    rule = {
        "name": name,
        "reason": reason,
        "author": author or getpass.getuser(),
        "kind": kind or None,
        "service": service or None,
        "expires": expires or None,
        "set": dict(_parse_assignment(text) for text in assignments),
    }

    def append(values):
        values["exceptions"].append(rule)

    _submit_change(settings, append, author, f"add exception {name}: {reason}", wait)


def remove(settings: Path, name: str, *, author: str = "", wait: bool = False):
    """Remove an exception.

    :param settings: TOML file with the settings of any node of the fleet
    :param name: name of the exception
    :param author: author of the change, the login name by default
    :param wait: print the progress until the change is in force on every node
    """

    def drop(values):
        kept = [rule for rule in values["exceptions"] if rule["name"] != name]
        if len(kept) == len(values["exceptions"]):
            names = [rule["name"] for rule in kept]
            raise DocumentError("exceptions", "name", name, f"one of {names}")
        values["exceptions"] = kept

    _submit_change(settings, drop, author, f"remove exception {name}", wait)


def status(settings: Path, *, as_json: bool = False):
    """Show members, configuration in force and outcomes, as known to one node.

    :param settings: TOML file with the settings of that node
    :param as_json: print JSON
    """
    loaded = load_settings(settings)
    report = anyio.run(node_readers.get(loaded.edge), loaded, "/status")
    if as_json:
        _print_json(report)
    else:
        status_printers.get(loaded.edge)(report)


@status_printers.register("tickets")
def _print_ticket_status(report):
    print(f"node {report['instance']} of service {report['service']}")
    print(f"configuration version {report['configuration']['version']}\n")
    columns = ("service", "region", "failure_domain", "address", "state")
    _print_table(columns, ([m[c] for c in columns] for m in report["members"]))
    print()
    columns = ("kind", "rank", "outcome", "reason", "count")
    _print_table(columns, ([o[c] for c in columns] for o in report["outcomes"]))


@status_printers.register("attempts")
def _print_attempt_status(report):
    print(f"node {report['instance']} of service {report['service']}")
    print(f"configuration version {report['configuration']}\n")
    server = report["server"]
    columns = ("server", "state")
    row = [server["id"] or "-", server["state"]]
    if "advertised_rate" in server:
        columns += ("advertised_rate", "requests_per_second")
        rate = server["advertised_rate"]
        row += ["none" if rate is None else rate, server["requests_per_second"]]
    _print_table(columns, [row])
    print()
    columns = ("service", "failure_domain", "address", "state", "accepting")
    _print_table(columns, ([m[c] for c in columns] for m in report["members"]))


def dump(settings: Path):
    """Print the complete state of one node.

    :param settings: TOML file with the settings of that node
    """
    loaded = load_settings(settings)
    _print_json(anyio.run(node_readers.get(loaded.edge), loaded, "/state"))


def version():
    """Print the version of the program."""
    from ragworthoist import __version__

    print(__version__)


async def _read_document(store, fleet):
    from ragworthoist._configuration_changes import read_document

    return await read_document(store, fleet)


def _run_with_store(path, operation):
    """Return the result of the coroutine function `operation(store, fleet name)`."""
    settings = load_settings(path)

    async def run():
        from ragworthoist.store import open_store

        async with open_store(settings.store) as store:
            return await operation(store, settings.fleet.name)

    return anyio.run(run)


def _submit_change(path, edit_values, author, summary, wait):
    from ragworthoist._configuration_changes import change_document

    async def change(store, fleet):
        return await change_document(
            store, fleet, edit_values, author or getpass.getuser(), summary[:500]
        )

    document = _run_with_store(path, change)
    print(f"accepted as version {document.version}")
    if wait:
        anyio.run(_wait_until_in_force, load_settings(path), document.version)


async def _wait_until_in_force(settings, wanted):
    started = time.monotonic()
    while True:
        survey = await _ask_operators(settings, "/survey")
        versions = {int(v): count for v, count in survey["versions"].items()}
        current = sum(count for v, count in versions.items() if v >= wanted)
        lagging = sum(versions.values()) - current
        elapsed = time.monotonic() - started
        print(
            f"{elapsed:5.1f} s: in force at {current}, behind {lagging}, "
            f"silent {len(survey['silent'])}"
        )
        if not lagging and not survey["silent"]:
            return
        if elapsed > WAIT_TIMEOUT_SECONDS:
            raise OperatorsError(
                "fleet", f"{lagging} nodes behind after {elapsed:.0f} s"
            )
        await anyio.sleep(WAIT_POLL_SECONDS)


@node_readers.register("tickets")
async def _ask_operators(settings, path):
    headers = {"authorization": f"Bearer {settings.operators.token}"}
    return await _get_json(settings.node.operators, path, headers)


@node_readers.register("attempts")
async def _ask_observer(settings, _path):
    """Return the state of a node, which includes its status."""
    if settings.node.metrics is None:
        raise OperatorsError(settings.node.name, "has no address for metrics")
    return await _get_json(settings.node.metrics, "/state")


async def _get_json(address, path, headers=None):
    import httpx

    host, port = address.pair
    address = f"{host}:{port}"
    try:
        async with httpx.AsyncClient(timeout=OPERATORS_TIMEOUT_SECONDS) as client:
            response = await client.get(f"http://{address}{path}", headers=headers)
    except httpx.HTTPError as error:
        raise OperatorsError(address, repr(error)) from None
    if response.status_code != 200:
        raise OperatorsError(address, f"status {response.status_code}")
    return response.json()


def _read_toml(path):
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise DocumentError(str(path), "file", error.strerror, "a file") from None
    except tomllib.TOMLDecodeError as error:
        raise DocumentError(str(path), "file", str(error), "TOML") from None


def _parse_assignment(text):
    key, separator, value = text.partition("=")
    if not separator:
        raise DocumentError("command line", text, text, "field=value")
    try:
        return key, json.loads(value)
    except json.JSONDecodeError:
        return key, value


def _print_json(value):
    print(json.dumps(value, indent=2))


def _print_table(columns, rows):
    rows = [[str(cell) for cell in row] for row in rows]
    table = [list(columns), *rows]
    widths = [max(len(row[i]) for row in table) for i in range(len(columns))]
    for row in table:
        line = "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True))
        print(line.rstrip())
