"""What every floor stands on: the clock, the log and the budgets, which decide nothing; nothing that names
a request, an endpoint or a protocol belongs here."""
