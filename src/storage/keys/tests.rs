//! Tests of `storage::keys`.

use super::*;

#[test]
fn keys_read_back() {
    let job = JobId::new("job-000001");
    assert_eq!(Key::parse(&spec(&job)), Some(Key::Spec(job.clone())));
    assert_eq!(Key::parse(&run(&job, 12)), Some(Key::Run(job.clone(), 12)));
    assert_eq!(Key::parse(&fate(&job)), Some(Key::JobOutcome(job.clone())));
    assert_eq!(Key::parse(&drain(&job)), Some(Key::Drain(job)));
    assert_eq!(Key::parse(&block(BlockId(7))), Some(Key::Block(BlockId(7))));
    assert_eq!(Key::parse("something/else"), None);
}
