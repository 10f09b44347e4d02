//! Processor time and memory of this process, as the kernel counts them.

use std::fs;
use std::time::Duration;

use eyre::OptionExt;
use eyre::WrapErr;

/// The size of a page of memory, in bytes.
const PAGE_BYTES: f64 = 4096.0;
/// The least processor time over which a piece of work is measured.
const LEAST_TIME: Duration = Duration::from_millis(60);

/// The processor time of this thread so far.
pub fn thread_time() -> eyre::Result<Duration> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")
        .wrap_err("cannot read this thread's processor time: run on Linux with schedstat")?;
    let nanos = text.split_whitespace().next().ok_or_eyre("the schedstat file is empty")?;
    Ok(Duration::from_nanos(nanos.parse()?))
}

/// The memory of this process that is in use, in bytes.
pub fn resident_bytes() -> eyre::Result<f64> {
    let text = fs::read_to_string("/proc/self/statm")
        .wrap_err("cannot read this process's memory: run on Linux")?;
    let pages = text.split_whitespace().nth(1).ok_or_eyre("the statm file is short")?;
    Ok(pages.parse::<f64>()? * PAGE_BYTES)
}

/// The processor time of one round of some work, in microseconds.
pub fn micros_a_round(mut work: impl FnMut(u64)) -> eyre::Result<f64> {
    let start = thread_time()?;
    let mut rounds = 0;
    let mut batch = 1;
    loop {
        for _ in 0..batch {
            work(rounds);
            rounds += 1;
        }
        let spent = thread_time()? - start;
        if spent >= LEAST_TIME {
            return Ok(spent.as_secs_f64() * 1e6 / rounds as f64);
        }
        batch = (batch * 2).min(4096);
    }
}
