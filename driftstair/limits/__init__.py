"""Limits per route and class, without I/O: which route a request takes, and which limits apply to it.

`routes` compiles and matches routes; `limiting_module` wraps the decision module and restricts its choices by
the limits that it passes with each request; `budgets` and `latency` hold the token buckets and the latency
histogram; `validation` checks a whole service file before it is used. The decision module still chooses the
server and decides on retry and refusal.
"""
