"""What stands round a node, written from the public protocol page: for tests, the demo and measurements."""
