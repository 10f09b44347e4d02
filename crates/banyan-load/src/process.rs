//! Processes of a bench: [`BenchProcess`] is started, says where it listens, and ends with us.

use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use eyre::OptionExt;
use eyre::WrapErr;
use eyre::bail;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::process::Child;
use tokio::process::Command;
use tokio::time::timeout;

/// The time that a process has to say where it listens.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// A process that was started for an experiment. It is killed when this is dropped.
#[derive(Debug)]
pub struct BenchProcess {
    /// The name in the bench.
    pub name: SmolStr,
    child: Child,
}

impl BenchProcess {
    /// Starts a program and reads the JSON line that says where it listens.
    pub async fn start<T: DeserializeOwned>(
        name: SmolStr,
        program: &str,
        arguments: &[String],
    ) -> eyre::Result<(Self, T)> {
        let path = program_path(program)?;
        let mut child = Command::new(&path)
            .args(arguments)
            .env("RUST_LOG", std::env::var("BANYAN_LOAD_CHILD_LOG").unwrap_or("error".to_owned()))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("{} cannot be started", path.display()))?;
        let output = child.stdout.take().ok_or_eyre("the process has no output")?;
        let mut lines = BufReader::new(output).lines();
        let line = timeout(READY_LIMIT, lines.next_line()).await;
        let line = line.wrap_err_with(|| format!("{name} did not say that it is ready"))??;
        let Some(line) = line else { bail!("{name} ended before it was ready") };
        let ready = serde_json::from_str(&line).wrap_err_with(|| format!("{name} said: {line}"))?;
        Ok((Self { name, child }, ready))
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Asks the process to stop in order.
    pub async fn terminate(&self) -> eyre::Result<()> {
        let Some(id) = self.child.id() else { return Ok(()) };
        let status = Command::new("kill").arg("-TERM").arg(id.to_string()).status().await?;
        if !status.success() {
            bail!("{} cannot be asked to stop", self.name);
        }
        Ok(())
    }

    /// Waits until the process has ended by itself.
    pub async fn wait(&mut self) -> eyre::Result<()> {
        self.child.wait().await.wrap_err_with(|| format!("{} has no end", self.name))?;
        Ok(())
    }

    /// Ends the process at once and waits for its end.
    pub async fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill().await.wrap_err_with(|| format!("{} cannot be ended", self.name))
    }
}

/// A program of ours, beside this one.
fn program_path(program: &str) -> eyre::Result<PathBuf> {
    let own = std::env::current_exe().wrap_err("this program does not know where it is")?;
    if program == "banyan-load" {
        return Ok(own);
    }
    // Tests stand one directory deeper than programs.
    let beside = own.ancestors().skip(1).take(2).map(|directory| directory.join(program));
    for path in beside {
        if path.is_file() {
            return Ok(path);
        }
    }
    bail!("{program} is not beside {}: build it with 'cargo build --workspace'", own.display())
}
