"""The agent of a host: starts and supervises its instances and executes orders. Decisions are free of I/O."""
