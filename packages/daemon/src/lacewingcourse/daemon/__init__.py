"""What every daemon of lacewingcourse shares: settings, logs, server, metrics."""
