"""driftstair: a reverse-proxy node; the decision module is lichenspring."""
