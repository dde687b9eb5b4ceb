"""Operators' library: declare a deployment and print its configuration."""

from hollyring.declaration.deployment import Deployment, deployment
from hollyring.declaration.errors import DeclarationError

__all__ = ["DeclarationError", "Deployment", "deployment"]
