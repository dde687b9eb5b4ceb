"""Entry point of ``python -m hollyring``."""

from hollyring.cli import main

if __name__ == "__main__":
    main.main()
