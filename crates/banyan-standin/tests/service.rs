//! The service counts what it really ran, also where the answer is lost.

use std::time::Duration;

use hyper::Method;
use tokio::time::timeout;

use banyan_standin::client::JsonClient;
use banyan_standin::fault::ConnectionFault;
use banyan_standin::fault::LossKind;
use banyan_standin::fault::ServiceFault;
use banyan_standin::service;
use banyan_standin::service::CallReply;
use banyan_standin::service::ServiceHandle;
use banyan_standin::service::ServiceOptions;

async fn call(
    client: &JsonClient,
    service: &ServiceHandle,
    body: &'static str,
) -> eyre::Result<CallReply> {
    client.send(Method::POST, service.address, "/call/book", body).await?.json()
}

async fn started() -> (JsonClient, ServiceHandle) {
    let service = service::start(ServiceOptions::default()).await.expect("a free port");
    (JsonClient::default(), service)
}

#[tokio::test]
async fn each_run_of_a_body_is_counted() {
    let (client, service) = started().await;
    assert_eq!(call(&client, &service, "{\"a\":1}").await.expect("a reply").run, 1);
    assert_eq!(call(&client, &service, "{\"a\":1}").await.expect("a reply").run, 2);
    assert_eq!(call(&client, &service, "{\"a\":2}").await.expect("a reply").run, 1);
    assert_eq!(service.runs_by_body()["{\"a\":1}"], 2);
    assert_eq!(service.truth().runs[0].call, "book");
}

#[tokio::test]
async fn a_call_whose_answer_is_lost_has_run() {
    let (client, service) = started().await;
    service.fault(ServiceFault::LoseAnswers { count: 1, how: LossKind::Cut });
    assert!(call(&client, &service, "{}").await.is_err());
    service.fault(ServiceFault::LoseAnswers { count: 1, how: LossKind::Silent });
    let waited = timeout(Duration::from_millis(500), call(&client, &service, "{}")).await;
    assert!(waited.is_err());
    assert_eq!(service.truth().runs.len(), 2);
}

#[tokio::test]
async fn a_killed_replica_refuses_connections() {
    let (client, service) = started().await;
    service.fault(ServiceFault::Connection(ConnectionFault::Kill));
    assert!(call(&client, &service, "{}").await.is_err());
    assert!(service.truth().runs.is_empty());
}

#[tokio::test]
async fn health_says_when_the_replica_is_leaving() {
    let (client, service) = started().await;
    let health = async || client.send(Method::GET, service.address, "/health", "").await;
    assert!(health().await.expect("an answer").status.is_success());
    service.fault(ServiceFault::Leaving { leaving: true });
    assert!(!health().await.expect("an answer").status.is_success());
}
