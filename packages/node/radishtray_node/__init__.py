"""The radishtray-node program."""
