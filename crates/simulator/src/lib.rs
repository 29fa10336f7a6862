#![doc = include_str!("../README.md")]
//! # Contents
//!
//! Rehearsing failures on one machine. Stand-ins for everything around the
//! controllers, fault scripts, and a checker that hears only what users,
//! machines and cloud saw.
//!
//! The stand-ins ([`stand::Stand`]) are one state machine without I/O. It runs
//! in two worlds: [`simulated`], where the controllers' own state machine runs
//! beside it in simulated time and a seed fixes everything, and [`loopback`],
//! where controllers are real processes and every message passes our sockets.

pub mod checker;
pub mod cloud;
pub mod commands;
pub mod director;
pub mod fleet;
pub mod layout;
pub mod links;
pub mod loopback;
pub mod report;
pub mod script;
pub mod simulated;
pub mod stand;
pub mod tally;
pub mod users;
pub mod waiting;
pub mod worker;
