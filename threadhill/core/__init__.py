"""The core: requests, attempts and deadlines around one Router. Fronts and cache connections attach through ports."""
