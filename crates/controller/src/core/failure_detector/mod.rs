//! How a controller notices that the leader has failed: a phi accrual failure
//! detector, and an investigation before the leader is replaced. Observations and
//! time go in, actions come out; nothing here sends anything.

pub mod accrual;
mod agent_migrations;
pub mod detector;
mod investigation;
pub mod suspicion;
