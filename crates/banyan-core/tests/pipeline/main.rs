//! Tests of the decisions about requests that engines pass along among themselves.

mod chains;
mod comebacks;
mod fleets;
mod histories;
mod layouts;
mod loads;
mod readers;
mod reroutes;
mod retry_budget;
mod route_table;
mod support;
mod suspicions;
