"""oakkeel: admission control and scheduling for servers behind load balancers of other operators."""
