"""The side process beside an endpoint: gate, hops, drain, orders."""
