"""The adapter to the users' platform: it translates between their wire and the product's types."""
