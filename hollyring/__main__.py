"""Run the command line with ``python -m hollyring``."""

from hollyring.cli import main

if __name__ == "__main__":
    main.main()
