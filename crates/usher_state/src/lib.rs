//! The replicated state: configuration, claims, orders, targets and daemons
