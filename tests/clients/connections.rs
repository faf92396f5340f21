//! Clients that open connections and do little or nothing on them.

use crate::{
    crowd::Behaviour,
    process::Limits,
    system::{SMALL_MACHINE, play_crowd},
};

/// A machine with few descriptors.
const FEW_DESCRIPTORS: Limits = Limits { max_fds: 600, ..SMALL_MACHINE };

#[tokio::test(flavor = "multi_thread")]
async fn connections_without_a_byte_leave_descriptors_for_others() {
    play_crowd(FEW_DESCRIPTORS, 1_280, Behaviour::sending("")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unfinished_heads_leave_descriptors_for_others() {
    play_crowd(FEW_DESCRIPTORS, 1_280, Behaviour::sending("GET /safe/h HTTP/1.1\r\nHost: h")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_that_are_kept_after_a_response_leave_descriptors_for_others() {
    let request = crate::site::request_bytes("GET", "/safe/k", "", "");
    let request = request.replace("Connection: close\r\n", "");
    play_crowd(FEW_DESCRIPTORS, 1_280, Behaviour::sending(request)).await;
}
