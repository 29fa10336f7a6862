//! Detection of a failed leader: a phi accrual failure detector, and an investigation
//! before the leader is replaced. The inputs are observations and the time, the outputs
//! are actions; this module sends nothing.

pub mod accrual;
mod agent_migrations;
pub mod detector;
mod investigation;
pub mod suspicion;
