"""A model of the whole fleet: the real decision module, one object a node, before modelled servers.

Discrete events on one clock, no sockets, no HTTP, no daemon: what the rehearsal kit plays with 20 nodes this
plays with a thousand. See docs/design/model.md for what it does not hold.
"""
