"""The simulator adapter, which runs balancers over the simulator's protocol.  It opens no sockets."""
