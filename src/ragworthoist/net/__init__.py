"""Input and output: peer streams, datagrams, HTTP. Decisions live in `core`."""
