"""Know which hosts are live."""
