//! The rate limit of the log, and the behaviour of a blocked log writer.

use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

use banyan_core::units::Moment;
use banyan_forward::log_budget::LinePriority;
use banyan_forward::log_budget::LogBudget;
use banyan_forward::logs::LogSettings;
use banyan_forward::logs::start_logging;

fn at(millis: u64) -> Moment {
    Moment(millis * 1_000)
}

#[test]
fn routine_lines_leave_part_of_the_budget_to_important_lines() {
    let budget = LogBudget::new(100.0, 1_000.0);
    let routine = (0..10_000).filter(|_| budget.admit(LinePriority::Routine, at(0))).count();
    assert!(routine < 1_000, "{routine}");
    let important = (0..100).filter(|_| budget.admit(LinePriority::Important, at(0))).count();
    assert_eq!(important, 100);
    assert_eq!(budget.take_dropped(), 10_000 - routine as u64);
    assert_eq!(budget.take_dropped(), 0);
}

#[test]
fn the_budget_refills_and_limits_the_sustained_rate() {
    let budget = LogBudget::new(100.0, 1_000.0);
    let mut written = 0;
    for millis in 0..60_000 {
        written += u32::from(budget.admit(LinePriority::Important, at(millis)));
    }
    assert!(written <= 1_000 + 100 * 60, "{written}");
    assert!(written >= 100 * 60, "{written}");
}

/// An output whose writes block until `unblock` is called.
#[derive(Clone, Default)]
struct BlockedOutput {
    unblocked: Arc<(Mutex<bool>, Condvar)>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl BlockedOutput {
    fn unblock(&self) {
        *self.unblocked.0.lock().expect("a lock") = true;
        self.unblocked.1.notify_all();
    }
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut unblocked = self.unblocked.0.lock().expect("a lock");
        while !*unblocked {
            unblocked = self.unblocked.1.wait(unblocked).expect("a lock");
        }
        self.written.lock().expect("a lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_output_does_not_block_logging_and_dropped_lines_are_counted() {
    let output = BlockedOutput::default();
    let log = start_logging(
        &LogSettings { filter: "info".to_owned(), ..LogSettings::default() },
        output.clone(),
    );
    // Many more lines than the queue and the budget accept. No call may block.
    for number in 0..20_000 {
        tracing::info!(part = "test", number, "A line.");
    }
    output.unblock();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let reporting = tokio::time::timeout(Duration::from_secs(11), log.report_dropped());
        assert!(reporting.await.is_err(), "report_dropped must not return");
    });
    drop(log);
    let written = String::from_utf8(output.written.lock().expect("a lock").clone()).expect("text");
    let lines: Vec<&str> = written.lines().collect();
    assert!(lines.len() < 3_000, "{} lines", lines.len());
    assert!(lines.iter().all(|line| line.starts_with('{') && line.ends_with('}')));
    let dropped = lines
        .iter()
        .find(|line| line.contains("Lines were left out."))
        .expect("a report of dropped lines");
    assert!(dropped.contains("over_budget"), "{dropped}");
}
