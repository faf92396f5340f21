//! What an entry listens for, each on an address of its own.

use std::{fmt, net::SocketAddr};

use crate::router::Router;

/// What an address is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenPurpose {
    /// Requests of callers.
    Callers,
    /// The load balancer's readiness check.
    Readiness,
    /// Links of other entries.
    Entries,
    /// Metrics and the release of quarantined requests.
    Metrics,
}

impl ListenPurpose {
    /// The address in the current settings; `None` if they have none for this purpose.
    pub fn address(self, router: &Router) -> Option<SocketAddr> {
        let settings = router.settings.load();
        match self {
            Self::Callers => Some(settings.caller_address),
            Self::Readiness => Some(settings.readiness_address),
            Self::Entries => settings.peer_address,
            Self::Metrics => {
                let port = router.policy.metrics_port?;
                Some(SocketAddr::new(settings.caller_address.ip(), port))
            }
        }
    }
}

impl fmt::Display for ListenPurpose {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Callers => "callers",
            Self::Readiness => "readiness",
            Self::Entries => "entries",
            Self::Metrics => "metrics",
        })
    }
}
