"""The request path from a caller to an endpoint and back."""
