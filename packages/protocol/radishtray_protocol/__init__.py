"""Wire messages, document format and platform objects."""
