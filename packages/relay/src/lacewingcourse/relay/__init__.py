"""An entry that forwards requests over what its ports tell of a platform."""
