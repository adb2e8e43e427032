"""Limits per route and class, without I/O: which route a request takes, and what it may cost there.

`routes` compiles and matches; `limiting_module` stands between the node's sockets and the decision module and
narrows what the module may do, by the data that it hands over; `budgets` and `latency` are what it counts
with; `validation` reasons over a whole file before it is used. The module still decides server, retry and
refusal.
"""
