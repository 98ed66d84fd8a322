//! The fake service counts executed calls, also if it crashes shortly before or after one.

use http_body_util::BodyExt as _;
use usher_fake::{FakeService, ServiceBehaviour, ServiceOptions};

async fn call(service: &FakeService, key: &str) -> Result<u16, String> {
    let client: hyper_util::client::legacy::Client<_, http_body_util::Full<bytes::Bytes>> =
        hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
            .build_http();
    let request = http::Request::post(format!("http://{}/call-out", service.address()))
        .header("idempotency-key", key)
        .body(http_body_util::Full::from("crew 4"))
        .unwrap();
    let response = client
        .request(request)
        .await
        .map_err(|error| error.to_string())?;
    let status = response.status().as_u16();
    response
        .into_body()
        .collect()
        .await
        .map_err(|error| error.to_string())?;
    Ok(status)
}

fn check_death(behaviour: ServiceBehaviour, effects: Option<u64>) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let options = ServiceOptions::new("service-1").with_behaviour(behaviour);
        let service = FakeService::start(options).await.unwrap();
        assert!(call(&service, "key").await.is_err());
        assert_eq!(service.calls().get("key").copied(), effects);
    });
}

usher_types::cases! { check_death:
    // Guards against counting a call whose process crashed before the effect.
    death_before_has_no_effect(ServiceBehaviour { die_before: true, ..Default::default() }, None);
    // Guards against not counting a call whose process crashed after the effect.
    death_after_has_one_effect(ServiceBehaviour { die_after: true, ..Default::default() }, Some(1));
}

/// Guards against a count that hides a repeated execution.
#[tokio::test]
async fn every_run_is_counted() {
    let service = FakeService::start(ServiceOptions::new("service-1"))
        .await
        .unwrap();
    assert_eq!(call(&service, "key").await, Ok(200));
    assert_eq!(call(&service, "key").await, Ok(200));
    assert_eq!(service.calls()["key"], 2);
}
