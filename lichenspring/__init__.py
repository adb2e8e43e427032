"""lichenspring: the decisions of a reverse proxy that balances requests over HTTP servers."""

from lichenspring.balance import Balancer

__all__ = ["Balancer"]
