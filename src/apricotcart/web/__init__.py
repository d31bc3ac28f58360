"""HTTP servers and WSGI applications shared by all hosts."""
