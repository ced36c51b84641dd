"""Entry point of the load and experiment tool."""

import sys

import defopt

from ragworthoist_lab.demonstration import demonstrate
from ragworthoist_lab.mesh_server import run_mesh_server
from ragworthoist_lab.mesh_store import run_mesh_store
from ragworthoist_lab.partition import run_partitionable_node
from ragworthoist_lab.server import run_server
from ragworthoist_lab.soak import soak
from ragworthoist_lab.store import run_store


def main():
    """Run the command given on the command line."""
    commands = {
        "store": run_store,
        "server": run_server,
        "mesh-store": run_mesh_store,
        "mesh-server": run_mesh_server,
        "node": run_partitionable_node,
        "demonstrate": demonstrate,
        "soak": soak,
    }
    sys.exit(defopt.run(commands, cli_options="has_default"))


if __name__ == "__main__":
    main()
