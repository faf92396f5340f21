//! The platform's stand-ins, started together.

use std::{collections::BTreeMap, time::Duration};

use eyre::Result;

use crate::{
    settings::PlatformSettings,
    standin::{
        Served, faults::FaultControl, hosts::HostsStandin, objects::ObjectsStandin, ratings, serve,
        table::TableStandin,
    },
};

/// Stand-ins of the platform, served over HTTP.
#[derive(Debug)]
pub struct Platform {
    /// Table service.
    pub table: TableStandin,
    /// Object store.
    pub objects: ObjectsStandin,
    /// Host list.
    pub hosts: HostsStandin,
    /// Faults of the rating service.
    pub ratings: FaultControl,
    served: [Served; 4],
}

impl Platform {
    /// Starts the stand-ins.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn start(seed: u64) -> Result<Self> {
        let table = TableStandin::new(seed);
        let objects = ObjectsStandin::new(seed + 1);
        let hosts = HostsStandin::new(seed + 2, Duration::from_millis(500));
        let ratings = FaultControl::new(seed + 3);
        let served = [
            serve(table.router()).await?,
            serve(objects.router()).await?,
            serve(hosts.router()).await?,
            serve(ratings::router(&ratings)).await?,
        ];
        Ok(Self { table, objects, hosts, ratings, served })
    }

    /// Where faults are controlled: `PUT` a JSON object to these.
    pub fn fault_urls(&self) -> BTreeMap<Box<str>, String> {
        let names = ["table", "objects", "hosts", "ratings"];
        let urls = self.served.iter().map(|served| format!("{}/faults", served.url()));
        names.into_iter().map(Into::into).zip(urls).collect()
    }

    /// Where they are.
    pub fn settings(&self) -> PlatformSettings {
        let url = |i: usize| self.served[i].url().into();
        PlatformSettings { table: url(0), objects: url(1), hosts: url(2), ratings: url(3) }
    }
}
