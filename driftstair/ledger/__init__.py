"""Billing ledgers: each node records its tenants' usage in hash-chained entries that are never modified.

`entries` defines the lines and their hash chain, `periods` the billing periods. `book` counts one node's
usage and builds its entries, `reconcile` joins the ledgers of several nodes, and `export` delivers them to
the billing side. None of these modules does I/O. `segments` stores ledgers in files, `carrier` exports them
over TCP, `keeper` connects a ledger to the daemon, and `command` holds the operator's commands.

Design: docs/design/ledger.md. Nothing in this package is imported unless a ledger is kept.
"""
