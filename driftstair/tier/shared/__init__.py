"""State that the nodes of a tier share, each part a core without clock, socket or chance of its own.

`rights` divides a fleet's budget so that it is never overspent, whoever hears nothing; `purse` spends on what
rights a node holds. Nothing of it is in the daemon yet.
"""
