"""A gateusher that works with stand-ins alone: every endpoint has to prove that it is one before the module hears of
it, and again and again after that.  How a request is routed among them does not belong here."""
