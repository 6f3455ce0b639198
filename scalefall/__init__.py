"""scalefall: the decisions of a service that delivers messages to other firms' systems."""
