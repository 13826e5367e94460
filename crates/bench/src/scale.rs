//! How what entries do for control grows with their number, without sockets.

use bpaf::Bpaf;
use eyre::{ensure, Result, WrapErr};
use plotters::prelude::*;
use serde::Serialize;
use sorreldeck::{Span, Time};
use sorreldeck_platform::Table;
use sorreldeck_sim::{Node, World, TICK};
use std::path::{Path, PathBuf};

/// Before anything is measured, so that all entries know all tables.
const BEFORE: Span = Span::from_millis(15_000);
/// For how long what goes on at rest, and beside changes, is measured.
const MEASURED: Span = Span::from_millis(10_000);
/// The pause between two changes.
const CHANGES: Span = Span::from_millis(500);
/// How long entries that were killed are down.
const DOWN: Span = Span::from_millis(500);
/// How long recovery is watched.
const WATCHED: Span = Span::from_millis(40_000);

/// The parameters of the experiment.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// The numbers of entries, separated by commas
    #[bpaf(long, argument("N,.."), fallback(Sizes(vec![30, 100, 385, 770])), display_fallback)]
    pub entries: Sizes,
    /// The upstreams at 385 entries; other sizes have as many for each entry
    #[bpaf(long, argument("N"), fallback(620), display_fallback)]
    pub upstreams: u64,
    /// The data halls
    #[bpaf(long, argument("N"), fallback(5), display_fallback)]
    pub halls: usize,
    /// The seconds within which a change must be in force
    #[bpaf(long, argument("S"), fallback(5.0), display_fallback)]
    pub within: f64,
    /// The seed
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Where a plot of each figure is written
    #[bpaf(long, argument("FILE"), optional)]
    pub plot: Option<PathBuf>,
}

/// Numbers of entries.
#[derive(Clone, Debug)]
pub struct Sizes(Vec<usize>);

impl std::str::FromStr for Sizes {
    type Err = eyre::Report;

    fn from_str(s: &str) -> Result<Sizes> {
        let sizes: Result<Vec<usize>, _> = s.split(',').map(str::parse).collect();
        let sizes = sizes.wrap_err("numbers separated by commas are needed")?;
        ensure!(sizes.iter().all(|n| *n > 0), "an installation has entries");
        Ok(Sizes(sizes))
    }
}

impl std::fmt::Display for Sizes {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let sizes: Vec<String> = self.0.iter().map(usize::to_string).collect();
        f.write_str(&sizes.join(","))
    }
}

/// What was measured at one size.
#[derive(Clone, Debug, Default, Serialize)]
struct Figures {
    entries: usize,
    upstreams: u64,
    /// The links of the entry with the most.
    links_most: usize,
    /// The rows that an entry keeps.
    rows: usize,
    /// Bytes a second that entries send at rest: the middle one and the busiest.
    rest_middle: f64,
    rest_most: f64,
    /// The same beside two changes a second.
    change_middle: f64,
    change_most: f64,
    /// Bytes a second between data halls beside the changes.
    crossed: f64,
    /// Calls of the store a second, all entries together, at rest and beside the changes.
    calls_rest: f64,
    calls_change: f64,
    /// Seconds until a change was at the last entry, at most.
    change_s: f64,
    /// Seconds until the first and the last entry knew all after all were killed.
    all_first_s: f64,
    all_last_s: f64,
    /// The same for the entries of one data hall.
    hall_first_s: f64,
    hall_last_s: f64,
    /// Calls of the store that all made until they knew all after all were killed.
    all_calls: u64,
}

/// Runs the experiment; returns whether every entry knew all in the end at each size.
///
/// # Errors
///
/// Fails when the plot cannot be written.
pub fn run(options: &Options) -> Result<bool> {
    let mut all = Vec::new();
    for entries in &options.entries.0 {
        let figures = measure(options, *entries);
        println!("{entries} entries: {figures:?}");
        all.push(figures);
    }
    let rows = rows_of(&all);
    for (name, values) in &rows {
        let values: Vec<String> = values.iter().map(|v| format!("{v:>12.2}")).collect();
        println!("{name:<44}{}  power {}", values.concat(), power(&all, name));
    }
    if let Some(path) = &options.plot {
        plot(path, &all, &rows)?;
    }
    println!("{}", serde_json::to_string(&all)?);
    Ok(all.iter().all(|f| f.all_last_s < WATCHED.secs_f64()))
}

type Row = (&'static str, Vec<f64>);

fn rows_of(all: &[Figures]) -> Vec<Row> {
    let row = |name, figure: fn(&Figures) -> f64| (name, all.iter().map(figure).collect());
    vec![
        row("entries", |f| f.entries as f64),
        row("links of the entry with the most", |f| f.links_most as f64),
        row("rows an entry keeps", |f| f.rows as f64),
        row("bytes/s at rest, middle entry", |f| f.rest_middle),
        row("bytes/s at rest, busiest entry", |f| f.rest_most),
        row("bytes/s beside changes, middle entry", |f| f.change_middle),
        row("bytes/s beside changes, busiest entry", |f| f.change_most),
        row("bytes/s between data halls, changes", |f| f.crossed),
        row("store calls/s at rest", |f| f.calls_rest),
        row("store calls/s beside changes", |f| f.calls_change),
        row("s until a change is at the last entry", |f| f.change_s),
        row("s until one knows all, all killed", |f| f.all_first_s),
        row("s until all know all, all killed", |f| f.all_last_s),
        row("s until one knows all, a hall killed", |f| f.hall_first_s),
        row("s until all know all, a hall killed", |f| f.hall_last_s),
        row("store calls after all were killed", |f| f.all_calls as f64),
    ]
}

/// Returns the power of the number of entries by which a figure grows from the smallest size to the
/// largest: 1 is as fast as the entries, 0 not at all.
fn power(all: &[Figures], name: &str) -> String {
    let rows = rows_of(all);
    let values = rows
        .iter()
        .find(|(n, _)| *n == name)
        .map(|(_, v)| v.clone());
    let values = values.unwrap_or_default();
    let (Some(first), Some(last)) = (all.first(), all.last()) else {
        return "-".into();
    };
    let grown = last.entries as f64 / first.entries as f64;
    match (values.first(), values.last()) {
        (Some(a), Some(b)) if *a > 0.0 && *b > 0.0 && grown > 1.0 => {
            format!("{:.2}", (b / a).ln() / grown.ln())
        }
        _ => "-".into(),
    }
}

/// One installation.
struct Day {
    world: World,
    seconds: f64,
}

fn measure(options: &Options, entries: usize) -> Figures {
    let within = Span::from_secs_f64(options.within);
    let mut world = World::within(within, options.seed, options.halls, entries);
    world.upstreams = (options.upstreams * entries as u64 / 385).max(1);
    world.put_upstreams();
    let mut day = Day {
        world,
        seconds: MEASURED.secs_f64(),
    };
    day.world.run(steps(BEFORE));
    let mut figures = Figures {
        entries,
        upstreams: day.world.upstreams,
        links_most: day.links_most(),
        rows: day.rows(),
        ..Figures::default()
    };
    let calls = day.world.store.calls;
    let sent = day.sent(|day| day.world.run(steps(MEASURED)));
    (figures.rest_middle, figures.rest_most) = sent;
    figures.calls_rest = (day.world.store.calls - calls) as f64 / day.seconds;
    let (calls, crossed) = (day.world.store.calls, day.world.cross_hall_bytes);
    let mut change_s = 0.0;
    let sent = day.sent(|day| change_s = day.change());
    (figures.change_middle, figures.change_most) = sent;
    figures.calls_change = (day.world.store.calls - calls) as f64 / day.seconds;
    figures.crossed = (day.world.cross_hall_bytes - crossed) as f64 / day.seconds;
    figures.change_s = change_s;
    let hall = day.world.nodes[0].peer.hall.clone();
    let of_hall = day.world.nodes.iter().enumerate();
    let of_hall = of_hall.filter(|(_, node)| node.peer.hall == hall);
    let of_hall: Vec<usize> = of_hall.map(|(number, _)| number).collect();
    (figures.hall_first_s, figures.hall_last_s) = day.lose(&of_hall);
    let calls = day.world.store.calls;
    let everyone: Vec<usize> = (0..entries).collect();
    (figures.all_first_s, figures.all_last_s) = day.lose(&everyone);
    figures.all_calls = day.world.store.calls - calls;
    figures
}

fn steps(span: Span) -> usize {
    (span.micros() / TICK.micros()) as usize
}

impl Day {
    fn links_most(&self) -> usize {
        let mut links = vec![0; self.world.nodes.len()];
        for (node, _) in self.world.links.keys() {
            links[*node] += 1;
        }
        links.into_iter().max().unwrap_or(0)
    }

    fn rows(&self) -> usize {
        let mirror = &self.world.nodes[0].mirror;
        Table::ALL.iter().map(|t| mirror.rows(*t).count()).sum()
    }

    /// Returns the bytes a second that the middle and the busiest entry sent while something went on.
    fn sent(&mut self, work: impl FnOnce(&mut Day)) -> (f64, f64) {
        let before = self.world.sent_bytes.clone();
        let began = self.world.now;
        work(self);
        let seconds = self.world.now.since(began).secs_f64();
        let sent = self.world.sent_bytes.iter().zip(&before);
        let mut sent: Vec<u64> = sent.map(|(now, before)| now - before).collect();
        sent.sort_unstable();
        let rate = |bytes: u64| bytes as f64 / seconds;
        let most = sent.last().copied().unwrap_or(0);
        (rate(sent[sent.len() / 2]), rate(most))
    }

    /// Makes changes; returns the seconds until one was at the last entry, at most.
    fn change(&mut self) -> f64 {
        let until = self.world.now + MEASURED;
        let mut changes: Vec<(u64, Time)> = Vec::new();
        let mut due = self.world.now;
        let mut longest: f64 = 0.0;
        while self.world.now < until || !changes.is_empty() {
            if self.world.now >= due && self.world.now < until {
                due = due + CHANGES;
                changes.push((self.world.configure(), self.world.now));
            }
            self.world.tick();
            let now = self.world.now;
            let least = self
                .world
                .nodes
                .iter()
                .map(Node::config_number)
                .min()
                .unwrap_or(0);
            for (_, at) in changes.iter().filter(|(number, _)| *number <= least) {
                longest = longest.max(now.since(*at).secs_f64());
            }
            changes.retain(|(number, _)| *number > least);
            if now.since(until) > WATCHED {
                return WATCHED.secs_f64();
            }
        }
        longest
    }

    /// Kills entries; returns the seconds from their return until the first and the last of them knew
    /// all tables.
    fn lose(&mut self, nodes: &[usize]) -> (f64, f64) {
        let back = self.world.now + DOWN;
        for node in nodes {
            self.world.kill(*node, back);
        }
        let mut first = WATCHED.secs_f64();
        while self.world.now < back + WATCHED {
            self.world.tick();
            let is_informed = |node: &&usize| self.world.nodes[**node].mirror.has_operator_table();
            let informed = nodes.iter().filter(is_informed).count();
            let passed = self.world.now.since(back).secs_f64();
            if informed > 0 {
                first = first.min(passed);
            }
            if informed == nodes.len() {
                return (first, passed);
            }
        }
        (first, WATCHED.secs_f64())
    }
}

/// Draws each figure against the number of entries, both on logarithmic axes.
fn plot(path: &Path, all: &[Figures], rows: &[Row]) -> Result<()> {
    const COLUMNS: usize = 3;
    const EACH: (u32, u32) = (420, 300);
    let figures = &rows[1..];
    let lines = figures.len().div_ceil(COLUMNS);
    let size = (EACH.0 * COLUMNS as u32, EACH.1 * lines as u32);
    let area = SVGBackend::new(path, size).into_drawing_area();
    area.fill(&WHITE)?;
    let sizes: Vec<f64> = all.iter().map(|f| f.entries as f64).collect();
    let least = sizes.iter().copied().fold(f64::MAX, f64::min) * 0.8;
    let most = sizes.iter().copied().fold(1.0, f64::max) * 1.25;
    for (area, (name, values)) in area.split_evenly((lines, COLUMNS)).iter().zip(figures) {
        let top = values.iter().copied().fold(0.01, f64::max) * 2.0;
        let bottom = values.iter().copied().fold(top, f64::min).max(0.005) * 0.5;
        let mut chart = ChartBuilder::on(area)
            .caption(
                format!("{name}, power {}", power(all, name)),
                ("sans-serif", 14),
            )
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(56)
            .build_cartesian_2d((least..most).log_scale(), (bottom..top).log_scale())?;
        chart.configure_mesh().x_desc("entries").draw()?;
        let points = sizes
            .iter()
            .copied()
            .zip(values.iter().map(|v| v.max(0.005)));
        let points: Vec<(f64, f64)> = points.collect();
        chart.draw_series(LineSeries::new(points.clone(), &BLUE))?;
        chart.draw_series(points.into_iter().map(|p| Circle::new(p, 3, BLUE.filled())))?;
    }
    area.present()?;
    Ok(())
}
