"""The tier's datagrams modelled: nodes that judge who lives, links that delay, lose and cut, no sockets.

`world` has links, pauses, crashes and restarts; `swim` puts the shipped core into it, `heartbeats` and
`accrual` two other detectors for comparison, never in the daemon; `measure` says how soon and how wrongly
each judges.
"""
