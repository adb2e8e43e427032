"""A model of the whole fleet: the real decision module, one instance a node, in front of modelled servers.

A discrete-event simulation with one clock and no sockets, HTTP or daemon. It runs the scenarios of the
rehearsal kit, which runs 20 nodes, with a thousand. docs/design/model.md lists what the model leaves out.
"""
