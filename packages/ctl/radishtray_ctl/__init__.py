"""The command line tool radishtrayctl for operators."""
