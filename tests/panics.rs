//! What follows a panic: of a holder of a lock, of a task, of a thread.

use std::{
    fmt::{self, Display, Formatter},
    panic::catch_unwind,
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use mintmoor::{
    control::{supervisor::supervise, thread::spawn_supervised},
    sync::Mutex,
    telemetry::{
        Metrics, event,
        log::{LogLevel, init_async_stdout},
    },
};

/// Set in the process that panics for the tests of the log.
const CHILD_VARIABLE: &str = "MINTMOOR_TEST_PANICS";
/// Number of panics of the child's thread.
const CHILD_PANICS: usize = 200;

/// A value that can't be logged.
struct PanickingValue;

impl Display for PanickingValue {
    fn fmt(&self, _: &mut Formatter<'_>) -> fmt::Result {
        panic!("in a value that is logged")
    }
}

/// What this test program prints as a process that logs like `mintmoor route` and panics.
fn run_panicking_child() -> (bool, String, String) {
    let child = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "panicking_child", "--nocapture"])
        .env(CHILD_VARIABLE, "1")
        .output()
        .unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (child.status.success(), text(&child.stdout), text(&child.stderr))
}

/// The child's part of the tests of the log; does nothing in the tests' own process.
#[test]
fn panicking_child() {
    if std::env::var_os(CHILD_VARIABLE).is_none() {
        return;
    }
    init_async_stdout(LogLevel::default()).unwrap();
    assert!(catch_unwind(|| event::PROCESS_STARTED.log(format_args!("{PanickingValue}"))).is_err());
    let worker = std::thread::Builder::new().name("worker".into()).spawn(|| {
        for i in 0..CHILD_PANICS {
            assert!(catch_unwind(|| panic!("number {i}")).is_err());
        }
    });
    worker.unwrap().join().unwrap();
    event::PROCESS_STOPPED.log(format_args!("cut=0"));
}

#[test]
fn a_panic_is_logged_with_its_thread_and_place_before_the_process_ends() {
    let (is_success, stdout, stderr) = run_panicking_child();

    assert!(is_success, "{stdout}{stderr}");
    let line = stdout.lines().find(|line| line.contains("PANICKED")).unwrap();
    assert!(line.contains("place=tests/panics.rs:"), "{line}");
    assert!(line.contains(r#""code":120"#), "{line}");
    assert!(stderr.contains("thread worker panicked at tests/panics.rs:"), "{stderr}");
    assert!(stdout.contains("PROCESS_STOPPED"), "{stdout}");
}

#[test]
fn many_panics_fill_neither_the_log_nor_standard_error() {
    let (_, stdout, stderr) = run_panicking_child();

    let lines = stdout.lines().filter(|line| line.contains("PANICKED")).count();
    assert!((1..CHILD_PANICS / 4).contains(&lines), "{stdout}");
    assert!(stderr.lines().filter(|line| line.contains("panicked")).count() <= 8, "{stderr}");
}

#[test]
fn a_panic_while_a_line_is_logged_does_not_hang_the_process() {
    let (is_success, stdout, stderr) = run_panicking_child();

    assert!(is_success, "{stdout}{stderr}");
    assert!(stderr.contains("in a value that is logged"), "{stderr}");
}

#[test]
fn a_lock_is_taken_after_a_panic_of_its_holder() {
    let lock = Arc::new(Mutex::new(1));
    let held = lock.clone();
    let holder = std::thread::spawn(move || {
        let mut value = held.lock();
        *value = 2;
        panic!("in a test");
    });
    assert!(holder.join().is_err());

    assert_eq!(*lock.lock(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_task_that_panics_is_started_again_while_the_others_go_on() {
    let metrics = Metrics::default();
    let (starts, steps) = (AtomicUsize::new(0), AtomicUsize::new(0));

    let panicking = supervise("odd", &metrics, async || {
        assert!(starts.fetch_add(1, Ordering::Relaxed) >= 3, "in a test");
    });
    let other = supervise("even", &metrics, async || {
        while starts.load(Ordering::Relaxed) < 4 {
            tokio::task::yield_now().await;
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
            steps.fetch_add(1, Ordering::Relaxed);
        }
    });
    tokio::join!(panicking, other);

    assert_eq!(starts.load(Ordering::Relaxed), 4);
    assert!(steps.load(Ordering::Relaxed) > 0);
    let rendered = metrics.render();
    assert!(rendered.contains(r#"tasks_restarted_total{task="odd"} 3"#), "{rendered}");
    assert!(!rendered.contains(r#"task="even""#), "{rendered}");
}

#[test]
fn control_work_that_panics_outside_its_tasks_is_started_again() {
    let (runs, restarts) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (run, restarted) = (runs.clone(), restarts.clone());
    let count = move || {
        restarted.fetch_add(1, Ordering::Relaxed);
    };

    let thread = spawn_supervised("control", count, move || {
        let before = run.fetch_add(1, Ordering::Relaxed);
        async move { assert!(before >= 2, "in a test") }
    });
    thread.unwrap().join().unwrap();

    assert_eq!(runs.load(Ordering::Relaxed), 3);
    assert_eq!(restarts.load(Ordering::Relaxed), 2);
}
