//! Load and experiment tool
