"""State that the nodes of a tier share, each part a core without clock, socket or chance of its own.

`escrow` keeps a budget of the fleet from being overspent, whoever hears nothing; `token_bucket` spends on
what a node holds; `demand` and `budget` decide who lends whom; `core` is all of it as one machine, `wire` its
items.
"""
