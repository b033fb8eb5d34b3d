"""oakkeel: admission and scheduling for the servers behind other people's balancers."""
