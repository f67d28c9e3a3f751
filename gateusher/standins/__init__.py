"""Outside systems that this project writes itself, from their public specifications: nodes that count every
effect, discovery, clients of the daemon.  For `gateusher try` and for tests, also users'; no floor below the
command line imports them."""
