"""Reads settings before the libraries of a daemon are imported.

The daemon validates its settings later and reports what is wrong with them.
"""

__all__ = ["read_early_settings"]

import configparser
from collections.abc import Sequence

CONFIG_OPTION = "--config"


def read_early_settings(argv: Sequence[str]) -> configparser.SectionProxy:
    """Return the unchecked settings of the role that a command line names.

    Args:
        argv: Command-line arguments; the first one is the role.

    Raises:
        OSError: The file cannot be read.
        LookupError: The command line names no file, or the file has no such section.
        ValueError: The file is no text.
        configparser.Error: The file is not in the INI format.
    """
    path = argv[list(argv).index(CONFIG_OPTION) + 1] if CONFIG_OPTION in argv else ""
    parser = configparser.ConfigParser(interpolation=None, delimiters=("=",))
    with open(path, encoding="utf-8") as stream:
        parser.read_file(stream)
    return parser[argv[0]]
