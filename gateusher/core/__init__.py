"""The request lifecycle: one final response per request.  Contains no sockets, clocks or client protocols."""
