//! What follows a panic: of a holder of a lock, of a task, of a thread.

use std::sync::Arc;

use mintmoor::sync::Mutex;

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
