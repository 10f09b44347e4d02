//! Entries as separate processes that tests kill, pause and stop with real signals.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;

use super::WAIT_LIMIT;
use banyan_http::client::JsonClient;
use banyan_wire::operator::StatusReply;

/// An entry daemon in a separate process; dropping the handle kills the process.
#[derive(Debug)]
pub struct EntryProcess {
    child: Child,
    pub caller_address: SocketAddr,
    pub operator_address: SocketAddr,
    pub peer_address: SocketAddr,
}

/// A signal that a test sends to an entry process.
#[derive(Clone, Copy, Debug)]
pub enum ProcessSignal {
    Stop,
    Continue,
    Terminate,
}

impl EntryProcess {
    /// Starts an entry and waits until it is ready.
    pub async fn start(name: &str, platform: SocketAddr) -> Self {
        let any = "127.0.0.1:0";
        let mut child = Command::new(env!("CARGO_BIN_EXE_banyan-entry"))
            .args(["--instance", name, "--zone", "zone-a"])
            .args(["--caller-address", any, "--peer-address", any, "--operator-address", any])
            .args(["--platform-address", &platform.to_string()])
            .env("RUST_LOG", "warn")
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let output = child.stdout.take().unwrap();
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line).unwrap();
        let addresses: Value = serde_json::from_str(&line).unwrap();
        let address = |name: &str| addresses[name].as_str().unwrap().parse().unwrap();
        let entry = Self {
            child,
            caller_address: address("caller_address"),
            operator_address: address("operator_address"),
            peer_address: address("peer_address"),
        };
        entry.wait_ready().await;
        entry
    }

    /// The operator status of the entry; `None` if it does not answer within 500 ms.
    pub async fn status(&self) -> Option<StatusReply> {
        let client = JsonClient::new(Duration::from_millis(500));
        client.get(self.operator_address, "/operator/status").await.ok()
    }

    /// The id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: ProcessSignal) {
        let name = match signal {
            ProcessSignal::Stop => "-STOP",
            ProcessSignal::Continue => "-CONT",
            ProcessSignal::Terminate => "-TERM",
        };
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(status.unwrap().success());
    }

    /// Kills the process and waits until it is gone.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits until the process has ended.
    pub async fn wait_end(&mut self) -> ExitStatus {
        let end = async {
            loop {
                if let Some(status) = self.child.try_wait().unwrap() {
                    return status;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(WAIT_LIMIT, end).await.expect("the process ends")
    }

    async fn wait_ready(&self) {
        let ready = async {
            loop {
                let status = self.status().await;
                if status.is_some_and(|status| status.ready.ready && status.log.reachable) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(WAIT_LIMIT, ready).await.expect("the entry is ready");
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
