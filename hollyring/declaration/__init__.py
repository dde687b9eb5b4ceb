"""The operators' library: declare a deployment and print its configuration."""
