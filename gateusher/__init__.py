"""gateusher: a sidecar load balancer, real sockets around the decisions of its policy."""
