"""Stand-ins and helpers that the scripts of the review share."""
