"""The router process: HTTP edge, back-end client and link to the control tier."""
