"""The I/O shell that runs a Raft replica over disk and network."""
