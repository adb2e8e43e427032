"""driftstair: a reverse-proxy node round the decisions of lichenspring."""
