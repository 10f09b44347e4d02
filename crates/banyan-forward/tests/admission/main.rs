//! Tests of the admission of streams by priority.

mod limits;
mod support;
mod waiting;
