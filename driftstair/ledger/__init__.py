"""A billing ledger per tenant: what each used, in entries that are chained, corrected and joined, never
changed.

`entries` are the lines and their chain, `periods` what a period is, `book` counts one node's use and words
its entries, `reconcile` joins several nodes' ledgers, `export` delivers them; none of these does I/O.
`segments` stores, `command` is what an operator has. Design: docs/design/ledger.md.
Nothing here is imported unless a ledger is kept.
"""
