"""Exit status of the commands."""

EXIT_INVALID_INPUT = 2  # a settings file or an argument has faults
