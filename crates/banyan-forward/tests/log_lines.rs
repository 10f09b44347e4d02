//! The bounds of the log.

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
fn a_flood_of_routine_lines_leaves_room_for_important_ones() {
    let budget = LogBudget::new(100.0, 1_000.0);
    let routine = (0..10_000).filter(|_| budget.admit(LinePriority::Routine, at(0))).count();
    assert!(routine < 1_000, "{routine}");
    let important = (0..100).filter(|_| budget.admit(LinePriority::Important, at(0))).count();
    assert_eq!(important, 100);
    assert_eq!(budget.take_dropped(), 10_000 - routine as u64);
    assert_eq!(budget.take_dropped(), 0);
}

#[test]
fn the_budget_fills_up_with_time_and_bounds_the_long_run() {
    let budget = LogBudget::new(100.0, 1_000.0);
    let mut written = 0;
    for millis in 0..60_000 {
        written += u32::from(budget.admit(LinePriority::Important, at(millis)));
    }
    assert!(written <= 1_000 + 100 * 60, "{written}");
    assert!(written >= 100 * 60, "{written}");
}

/// A reader that has stopped: writing to it never comes back until it is told to go on.
#[derive(Clone, Default)]
struct StoppedReader {
    going: Arc<(Mutex<bool>, Condvar)>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl StoppedReader {
    fn go_on(&self) {
        *self.going.0.lock().expect("a lock") = true;
        self.going.1.notify_all();
    }
}

impl Write for StoppedReader {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut going = self.going.0.lock().expect("a lock");
        while !*going {
            going = self.going.1.wait(going).expect("a lock");
        }
        self.written.lock().expect("a lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stops_holds_up_nobody_and_what_is_lost_is_counted() {
    let reader = StoppedReader::default();
    let log = start_logging(
        &LogSettings { filter: "info".to_owned(), ..LogSettings::default() },
        reader.clone(),
    );
    // Many more lines than the queue and the budget take: each must come back at once.
    for number in 0..20_000 {
        tracing::info!(part = "test", number, "A line.");
    }
    reader.go_on();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let reporting = tokio::time::timeout(Duration::from_secs(11), log.report_dropped());
        assert!(reporting.await.is_err(), "it reports for as long as the daemon runs");
    });
    drop(log);
    let written = String::from_utf8(reader.written.lock().expect("a lock").clone()).expect("text");
    let lines: Vec<&str> = written.lines().collect();
    assert!(lines.len() < 3_000, "{} lines", lines.len());
    assert!(lines.iter().all(|line| line.starts_with('{') && line.ends_with('}')));
    let dropped = lines.iter().find(|line| line.contains("Lines were left out.")).expect("a count");
    assert!(dropped.contains("over_budget"), "{dropped}");
}
