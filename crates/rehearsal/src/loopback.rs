//! later
