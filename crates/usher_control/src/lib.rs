//! Library of the control daemon
