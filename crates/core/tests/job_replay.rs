//! Replay of job records and selection of the actions that are due.

use uuid::Uuid;
use waxwing_core::Name;
use waxwing_core::state::jobs::JobAction;
use waxwing_core::state::jobs::JobResult;
use waxwing_core::state::jobs::JobState;
use waxwing_core::state::jobs::Jobs;
use waxwing_core::state::jobs::RecordMetadata;
use waxwing_core::state::jobs::Submission;

const RETENTION_MS: u64 = 1_000;
const RUNNING_MAX: usize = 4;

fn new_submission(body: &str) -> Submission {
    Submission {
        organisation: "qaghaz".into(),
        class: "desk/digest".into(),
        body: body.to_owned(),
    }
}

fn new_result(body: &str) -> JobResult {
    JobResult {
        status: 200,
        content_type: "application/json".to_owned(),
        body: body.to_owned(),
    }
}

fn at(offset: u64, time_ms: u64) -> RecordMetadata {
    RecordMetadata { offset, time_ms }
}

fn member_names() -> Vec<Name> {
    vec!["vm-1".into(), "vm-2".into(), "vm-3".into()]
}

fn due_actions(jobs: &mut Jobs, now_ms: u64, local_vm: &str, members: &[Name]) -> Vec<JobAction> {
    jobs.next_actions(now_ms, &local_vm.into(), members, RETENTION_MS, RUNNING_MAX)
}

/// Guards against a later result that replaces one that a caller has already fetched.
#[test]
fn first_result_counts() {
    let id = Uuid::from_u128(1);
    let mut jobs = Jobs::default();
    jobs.submit(id, at(0, 0), new_submission("a"));
    jobs.finish(id, at(1, 10), "qaghaz".into(), new_result("first"));
    jobs.finish(id, at(2, 20), "qaghaz".into(), new_result("second"));
    jobs.submit(id, at(3, 30), new_submission("a"));
    let found = jobs.get(&"qaghaz".into(), id);
    assert_eq!(found, Some(JobState::Finished(&new_result("first"))));
    assert_eq!(jobs.pending_bytes(), 0);
}

/// Guards against a job that another organisation can read.
#[test]
fn other_organisations_see_nothing() {
    let id = Uuid::from_u128(1);
    let mut jobs = Jobs::default();
    jobs.submit(id, at(0, 0), new_submission("a"));
    assert_eq!(jobs.get(&"lublin".into(), id), None);
    jobs.finish(id, at(1, 10), "qaghaz".into(), new_result("first"));
    assert_eq!(jobs.get(&"lublin".into(), id), None);
}

/// Guards against a job that no live VM runs, or that several VMs with the same member list run.
#[test]
fn one_live_vm_runs_a_job() {
    for number in 0..50 {
        let id = Uuid::from_u128(number);
        let mut members = member_names();
        while !members.is_empty() {
            let mut runners = Vec::new();
            for local_vm in &members {
                let mut jobs = Jobs::default();
                jobs.submit(id, at(0, 0), new_submission("a"));
                if due_actions(&mut jobs, 1, local_vm.as_str(), &members) == [JobAction::Run(id)] {
                    runners.push(local_vm.clone());
                }
            }
            assert_eq!(runners.len(), 1, "job {number} of {members:?}");
            // The runner fails; one of the others must take over.
            members.retain(|member| *member != runners[0]);
        }
    }
}

/// Guards against a failed run that is never retried, or retried without a delay.
#[test]
fn failed_run_is_retried_after_a_growing_delay() {
    let id = Uuid::from_u128(1);
    let members = vec![Name::from("vm-1")];
    let mut jobs = Jobs::default();
    jobs.submit(id, at(0, u64::MAX / 2), new_submission("a"));
    let mut now_ms = 0;
    let mut last_delay_ms = 0;
    for _ in 0..3 {
        assert_eq!(
            due_actions(&mut jobs, now_ms, "vm-1", &members),
            [JobAction::Run(id)]
        );
        assert_eq!(due_actions(&mut jobs, now_ms, "vm-1", &members), []);
        jobs.fail(now_ms, id, 0);
        let failed_at_ms = now_ms;
        while due_actions(&mut jobs, now_ms, "vm-1", &members).is_empty() {
            now_ms += 10;
        }
        let delay_ms = now_ms - failed_at_ms;
        assert!(delay_ms > last_delay_ms);
        last_delay_ms = delay_ms;
        jobs.fail(now_ms, id, 0);
        now_ms += 100_000;
    }
}

/// Guards against a pending job that falls out of the log's retention, and against a flood of renewal records.
#[test]
fn pending_job_is_renewed_at_half_of_the_retention() {
    let id = Uuid::from_u128(1);
    let members = vec![Name::from("vm-1")];
    let mut jobs = Jobs::default();
    jobs.submit(id, at(0, 0), new_submission("a"));
    assert_eq!(
        due_actions(&mut jobs, 1, "vm-1", &members),
        [JobAction::Run(id)]
    );
    assert_eq!(due_actions(&mut jobs, 499, "vm-1", &members), []);
    assert_eq!(
        due_actions(&mut jobs, 500, "vm-1", &members),
        [JobAction::Append(id)]
    );
    assert_eq!(due_actions(&mut jobs, 501, "vm-1", &members), []);
    jobs.submit(id, at(1, 510), new_submission("a"));
    assert_eq!(due_actions(&mut jobs, 900, "vm-1", &members), []);
    assert_eq!(
        due_actions(&mut jobs, 1_010, "vm-1", &members),
        [JobAction::Append(id)]
    );
    assert_eq!(
        jobs.pending_job(id).map(|(_, metadata)| metadata.offset),
        Some(1)
    );
}

/// Guards against a limit on running jobs that is exceeded, or whose slots are never freed.
#[test]
fn running_jobs_are_bounded() {
    let members = vec![Name::from("vm-1")];
    let mut jobs = Jobs::default();
    for number in 0..6 {
        jobs.submit(Uuid::from_u128(number), at(0, 0), new_submission("a"));
    }
    assert_eq!(
        due_actions(&mut jobs, 1, "vm-1", &members).len(),
        RUNNING_MAX
    );
    assert_eq!(due_actions(&mut jobs, 1, "vm-1", &members).len(), 0);
    let first = Uuid::from_u128(0);
    jobs.finish(first, at(9, 2), "qaghaz".into(), new_result("a"));
    assert_eq!(due_actions(&mut jobs, 1, "vm-1", &members).len(), 1);
}

/// Guards against results that are never evicted from memory, and against a large result that evicts itself.
#[test]
fn results_leave_memory() {
    let mut jobs = Jobs::default();
    let organisation = Name::from("qaghaz");
    let large = "x".repeat(10 * 1_024 * 1_024);
    for number in 0..2 {
        let id = Uuid::from_u128(number);
        let metadata = at(number as u64, number as u64);
        jobs.finish(id, metadata, organisation.clone(), new_result(&large));
    }
    let first = Uuid::from_u128(0);
    assert_eq!(jobs.get(&organisation, first), Some(JobState::Stored(0)));
    let second = Uuid::from_u128(1);
    assert_eq!(
        jobs.get(&organisation, second),
        Some(JobState::Finished(&new_result(&large)))
    );
    jobs.expire(1);
    assert_eq!(jobs.get(&organisation, first), None);
    assert!(jobs.is_finished(second));
}
