"""INI settings of the daemons, checked at the border."""
