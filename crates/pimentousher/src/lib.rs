//! Command line and daemons of the pimentousher serving system
