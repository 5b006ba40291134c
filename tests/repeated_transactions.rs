//! The simulated state service reports transactions of which a late copy could be carried out, and
//! copies that are.

use serde_json::{Value, json};
use simulator::state_service::StateService;

const CONTROLLER: &str = "n0";

async fn commit(service: &StateService, conditions: Value, operations: Value) -> String {
    let body = json!({"if": conditions, "then": operations}).to_string();
    let (status, _) = service
        .handle(CONTROLLER, "POST", "/commit", body.as_bytes())
        .await;
    assert_eq!(status, 200, "{body}");
    body
}

fn absent(key: &str) -> Value {
    json!({"k": key, "mark": 0})
}

fn set(key: &str) -> Value {
    json!({"set": key, "data": {}})
}

#[tokio::test(start_paused = true)]
async fn a_record_that_is_removed_later_must_not_be_created_on_its_absence_alone() {
    let service = StateService::default();
    let creation = commit(
        &service,
        json!([absent("rent/r-1")]),
        json!([set("rent/r-1")]),
    )
    .await;
    assert_eq!(
        service.repeated_transactions().len(),
        1,
        "could be repeated"
    );
    let removal = json!([{"drop": "rent/r-1"}]);
    commit(&service, json!([{"k": "rent/r-1", "mark": 1}]), removal).await;
    service
        .handle_copy(CONTROLLER, "POST", "/commit", creation.as_bytes())
        .await;
    assert_eq!(
        service.repeated_transactions().last().map(String::as_str),
        Some("transaction carried out twice: rent/r-1")
    );
}

#[tokio::test(start_paused = true)]
async fn transactions_that_rule_copies_out_are_not_reported() {
    let service = StateService::default();
    let by_outcome = json!([absent("spec/job-1"), absent("fate/job-1")]);
    commit(&service, by_outcome, json!([set("spec/job-1")])).await;
    let by_permanent_record = json!([absent("block/1")]);
    commit(&service, by_permanent_record, json!([set("block/1")])).await;
    let by_revision = json!([{"k": "block/1", "mark": 2}, absent("rent/r-1")]);
    let operations = json!([set("block/1"), set("rent/r-1")]);
    let creation = commit(&service, by_revision, operations).await;
    let (_, lease) = service
        .handle(CONTROLLER, "POST", "/grants", br#"{"life_ms":5000}"#)
        .await;
    let with_lease = json!([{"set": "leader", "data": {}, "tether": lease["tether"]}]);
    commit(&service, json!([absent("leader")]), with_lease).await;
    let removal = json!([{"drop": "rent/r-1"}]);
    commit(&service, json!([{"k": "rent/r-1", "mark": 3}]), removal).await;
    let (status, _) = service
        .handle_copy(CONTROLLER, "POST", "/commit", creation.as_bytes())
        .await;
    assert_eq!(status, 409);
    assert_eq!(service.repeated_transactions(), Vec::<String>::new());
}
