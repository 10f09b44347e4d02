//! Tests of the decisions about requests that engines pass along among themselves.

mod chains;
mod fleets;
mod histories;
mod layouts;
mod loads;
mod readers;
mod reroutes;
mod retry_budget;
mod retry_times;
mod route_table;
mod support;
mod suspicions;
