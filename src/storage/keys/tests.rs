//! Tests of `storage::keys`.

use super::*;

#[test]
fn formatted_keys_parse() {
    let job = JobId::new("job-000001");
    assert_eq!(Key::parse(&spec(&job)), Some(Key::Spec(job.clone())));
    assert_eq!(Key::parse(&run(&job, 12)), Some(Key::Run(job.clone(), 12)));
    assert_eq!(
        Key::parse(&outcome(&job)),
        Some(Key::JobOutcome(job.clone()))
    );
    assert_eq!(Key::parse(&cleanup(&job)), Some(Key::Cleanup(job)));
    assert_eq!(Key::parse(&shard(ShardId(7))), Some(Key::Shard(ShardId(7))));
    assert_eq!(Key::parse("something/else"), None);
}
