"""Exit statuses that several commands share."""

EXIT_INVALID_INPUT = 2  # a settings file or an argument is invalid
