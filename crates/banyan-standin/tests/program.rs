//! The program starts each stand-in, says where it listens, and takes faults.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use serde::Deserialize;

use banyan_standin::client::JsonClient;
use banyan_standin::fault::ConnectionFault;
use banyan_standin::fault::EngineFault;
use banyan_wire::engine::RoleReply;

#[derive(Deserialize)]
struct Ready {
    address: SocketAddr,
    control_address: SocketAddr,
}

struct Program {
    child: Child,
    ready: Ready,
}

impl Program {
    fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_banyan-standin"))
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut line = String::new();
        let output = child.stdout.take().expect("a pipe");
        BufReader::new(output).read_line(&mut line).expect("a line");
        let ready = serde_json::from_str(&line).expect("a JSON line");
        Self { child, ready }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[tokio::test]
async fn an_engine_announces_itself_and_dies_when_told_to() {
    let platform = Program::start(&["platform"]);
    let address = platform.ready.address.to_string();
    let mut engine = Program::start(&[
        "engine",
        "--name",
        "e1",
        "--layers",
        "3-5",
        "--platform",
        &address,
        "--zone",
        "zone-a",
    ]);
    let client = JsonClient::default();
    let role: RoleReply = client.get(engine.ready.address, "/v1/role").await.expect("a role");
    assert_eq!((role.first_layer, role.end_layer), (3, 6));
    let list: banyan_wire::platform::InstancesReply =
        client.get(platform.ready.address, "/instances").await.expect("a list");
    assert_eq!(list.instances[0].name, "e1");
    let kill = EngineFault::Connection(ConnectionFault::Kill);
    client.set_fault(engine.ready.control_address, &kill).await;
    let status = engine.child.wait().expect("the program ends");
    assert!(!status.success());
}

#[tokio::test]
async fn a_service_starts() {
    let service = Program::start(&["service", "--name", "booking-1"]);
    let client = JsonClient::default();
    let health = client.send(hyper::Method::GET, service.ready.address, "/health", "").await;
    assert!(health.expect("an answer").status.is_success());
}
