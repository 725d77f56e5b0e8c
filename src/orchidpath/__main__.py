"""Makes ``python -m orchidpath`` the same as the ``orchidpath`` command."""

from orchidpath.cli.main import main

main()
