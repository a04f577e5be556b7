"""The radishtrayctl program."""
