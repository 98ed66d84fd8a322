//! Library of the entry daemon
