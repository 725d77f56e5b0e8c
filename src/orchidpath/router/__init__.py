"""The router process: HTTP edge, back-end client and control subscription."""
