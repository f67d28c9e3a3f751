"""Sources of the endpoint list.  Contains no endpoint selection."""
