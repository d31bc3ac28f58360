"""HTTP server side shared by entry and control hosts."""
