//! Routing, limits, roles and retries as pure decisions
