//! Figures of one run.

use std::{collections::BTreeMap, fmt, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{
    load::{Baseline, Broken, Record, Scenario, runner::turned_bad},
    local::{LocalSystem, VERSIONS},
    policy::charge::Totals,
};

/// Percentiles of a time, milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl Percentiles {
    /// Percentiles of some times; zeros when there are none.
    pub fn of(times: impl Iterator<Item = Duration>) -> Self {
        let mut histogram = Histogram::<u64>::new(3).expect("three digits are allowed");
        histogram.auto(true);
        for time in times {
            let _ = histogram.record(time.as_micros() as u64);
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Self { p50: at(0.50), p95: at(0.95), p99: at(0.99) }
    }
}

/// Answers to one organisation from one version in one stage.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AnswerRow {
    /// Organisation.
    pub organisation: Box<str>,
    /// Version.
    pub version: Box<str>,
    /// Stage, from 0.
    pub stage: u32,
    /// Whole answers.
    pub answers: u64,
    /// Cost of the tokens generated, by the preset's prices; the charges below have it all.
    pub cost: u64,
    /// Time to first token, milliseconds.
    pub first_token: Percentiles,
}

/// The report of one run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Scenario.
    pub scenario: Box<str>,
    /// Policy that was run.
    pub policy: Box<str>,
    /// Seed.
    pub seed: u64,
    /// Requests after the warm-up.
    pub requests: u64,
    /// Answers by code.
    pub codes: BTreeMap<Box<str>, u64>,
    /// Mean rating of delivered answers, 0 to 1.
    pub quality: f64,
    /// Cost of a delivered answer, millionths; over the whole run.
    pub cost: f64,
    /// Time to first token of streamed answers, milliseconds.
    pub first_token: Percentiles,
    /// Mean time between tokens, milliseconds.
    pub between_tokens: Percentiles,
    /// Time to the end, milliseconds.
    pub total: Percentiles,
    /// Time to first token by organisation, milliseconds.
    pub first_token_by_organisation: BTreeMap<Box<str>, Percentiles>,
    /// Answers by organisation, version and stage.
    pub answers: Vec<AnswerRow>,
    /// Answers from a version after it turned bad, and failures it caused.
    pub exposure: u64,
    /// Attempts sent for each request.
    pub attempts_per_request: f64,
    /// Share of prompt tokens found in prefix caches.
    pub cache_hits: f64,
    /// Writes to the table service a second.
    pub store_writes: f64,
    /// Reads of the table service a second.
    pub store_reads: f64,
    /// Charges, answered requests and cost by organisation, over the whole run.
    pub totals: BTreeMap<Box<str>, Totals>,
    /// Promises seen broken.
    pub broken: Broken,
    duration_s: f64,
}

impl Report {
    /// Figures that come from the callers' side.
    pub(super) fn new(scenario: &Scenario, baseline: Baseline, records: &[Record]) -> Self {
        let warmup = Duration::from_secs_f64(scenario.warmup_s);
        let counted: Vec<&Record> = records.iter().filter(|r| r.sent >= warmup).collect();
        let answered: Vec<&&Record> = counted.iter().filter(|r| r.is_answered()).collect();
        let chats: Vec<&&&Record> = answered.iter().filter(|r| r.version().is_some()).collect();
        let poor = chats.iter().filter(|r| r.is_poor).count();
        let mut report = Report {
            scenario: scenario.name.clone(),
            policy: baseline.name().into(),
            seed: scenario.seed,
            requests: counted.len() as u64,
            quality: 1.0 - poor as f64 / chats.len().max(1) as f64,
            duration_s: scenario.duration_s,
            ..Report::default()
        };
        for record in &counted {
            *report.codes.entry(record.outcome.code.clone()).or_default() += 1;
        }
        report.answers = answer_rows(&answered);
        let streamed = |r: &&&Record| r.outcome.between_tokens.is_some();
        let firsts = answered.iter().copied().filter(streamed);
        report.first_token = Percentiles::of(firsts.filter_map(|r| r.outcome.first_token));
        let gaps = answered.iter().filter_map(|r| r.outcome.between_tokens);
        report.between_tokens = Percentiles::of(gaps);
        report.total = Percentiles::of(answered.iter().map(|r| r.outcome.total));
        report.first_token_by_organisation = by_organisation(&answered);
        report.exposure = exposure(scenario, records);
        report
    }

    /// Figures that come from the system's side.
    pub(super) fn note_system(
        &mut self,
        system: &LocalSystem,
        totals: &BTreeMap<Box<str>, Totals>,
        sent: usize,
    ) {
        let cost: u64 = totals.values().map(|t| t.cost).sum();
        let charged: u64 = totals.values().map(|t| t.requests).sum();
        self.cost = cost as f64 / charged.max(1) as f64;
        self.totals = totals.clone();
        let starts: u64 = system.engines.values().flat_map(|e| e.started().into_values()).sum();
        let calls: u64 = system.services.values().flat_map(|s| s.calls().into_values()).sum();
        self.attempts_per_request = (starts + calls) as f64 / sent.max(1) as f64;
        let (hits, prompts) = system
            .engines
            .values()
            .map(|engine| engine.cache_hits())
            .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        self.cache_hits = hits as f64 / prompts.max(1) as f64;
        let (writes, reads) = system.platform.table.counts();
        self.store_writes = writes as f64 / self.duration_s;
        self.store_reads = reads as f64 / self.duration_s;
    }
}

/// Organisation, version and stage.
type AnswerGroup = (Box<str>, Box<str>, u32);

fn answer_rows(answered: &[&&Record]) -> Vec<AnswerRow> {
    let mut groups: BTreeMap<AnswerGroup, Vec<&&&Record>> = BTreeMap::new();
    for record in answered {
        let Some(version) = record.version() else { continue };
        let stage = record.outcome.stage.unwrap_or(0);
        let group = (record.organisation.clone(), version.clone(), stage);
        groups.entry(group).or_default().push(record);
    }
    groups.into_iter().map(|(group, records)| answer_row(group, &records)).collect()
}

fn answer_row((organisation, version, stage): AnswerGroup, records: &[&&&Record]) -> AnswerRow {
    let price = VERSIONS.iter().find(|(id, ..)| *id == &*version).map_or(0, |v| v.2);
    let tokens: u64 = records.iter().filter_map(|r| r.outcome.tokens_out).sum();
    AnswerRow {
        organisation,
        stage,
        answers: records.len() as u64,
        cost: (tokens * price).div_ceil(1_000),
        first_token: Percentiles::of(records.iter().filter_map(|r| r.outcome.first_token)),
        version,
    }
}

fn by_organisation(answered: &[&&Record]) -> BTreeMap<Box<str>, Percentiles> {
    let mut times: BTreeMap<Box<str>, Vec<Duration>> = BTreeMap::new();
    for record in answered.iter().filter(|r| r.outcome.between_tokens.is_some()) {
        let times = times.entry(record.organisation.clone()).or_default();
        times.extend(record.outcome.first_token);
    }
    times.into_iter().map(|(name, times)| (name, Percentiles::of(times.into_iter()))).collect()
}

/// Poor answers and failures callers got from a version after it turned bad.
fn exposure(scenario: &Scenario, records: &[Record]) -> u64 {
    let Some((version, at)) = turned_bad(scenario) else {
        return 0;
    };
    let after = Duration::from_secs_f64(at);
    let exposed = records.iter().filter(|r| r.sent >= after && r.version() == Some(&version));
    exposed.count() as u64
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "scenario {}  policy {}  seed {}", self.scenario, self.policy, self.seed)?;
        let codes: Vec<String> = self.codes.iter().map(|(code, n)| format!("{code} {n}")).collect();
        writeln!(f, "  requests {}: {}", self.requests, codes.join(", "))?;
        writeln!(f, "  quality {:.3}  cost {:.1}", self.quality, self.cost)?;
        let row = |p: &Percentiles| format!("{:8.1} {:8.1} {:8.1}", p.p50, p.p95, p.p99);
        writeln!(f, "  milliseconds         p50      p95      p99")?;
        writeln!(f, "  first token     {}", row(&self.first_token))?;
        writeln!(f, "  between tokens  {}", row(&self.between_tokens))?;
        writeln!(f, "  whole answer    {}", row(&self.total))?;
        for (organisation, times) in &self.first_token_by_organisation {
            writeln!(f, "  first token     {}  {organisation}", row(times))?;
        }
        writeln!(
            f,
            "  answers  organisation         version             stage   cost  first token"
        )?;
        for row in &self.answers {
            writeln!(
                f,
                "  {:7}  {:20} {:20} {:4} {:6}  p50 {:.1} p95 {:.1}",
                row.answers,
                row.organisation,
                row.version,
                row.stage,
                row.cost,
                row.first_token.p50,
                row.first_token.p95
            )?;
        }
        for (organisation, t) in &self.totals {
            writeln!(
                f,
                "  charged  {organisation:24} requests {} tokens {}+{} cost {}",
                t.requests, t.tokens_in, t.tokens_out, t.cost
            )?;
        }
        writeln!(
            f,
            "  exposure {}  attempts a request {:.3}  cache hits {:.3}  store {:.1} w/s {:.1} r/s",
            self.exposure,
            self.attempts_per_request,
            self.cache_hits,
            self.store_writes,
            self.store_reads
        )?;
        write!(f, "  promises broken {}: {:?}", self.broken.total(), self.broken)
    }
}
