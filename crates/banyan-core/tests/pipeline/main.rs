//! Tests of the scheduling of requests over pipelines of engines.

mod chains;
mod checkers;
mod crashes;
mod duties;
mod fleet_start;
mod fleets;
mod groups;
mod histories;
mod layouts;
mod loads;
mod order_queues;
mod priorities;
mod prompt_orders;
mod readers;
mod rejections;
mod replicas;
mod reroutes;
mod reservations;
mod restored_histories;
mod retry_budget;
mod retry_times;
mod returns;
mod route_table;
mod support;
mod suspicions;
mod target_limits;
