//! Settings in INI and the planners' sheet in CSV, checked as a whole
