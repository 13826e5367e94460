//! What is served while one entry gets most new connections.

use crate::stats::{print_last, round};
use bpaf::Bpaf;
use eyre::Result;
use plotters::prelude::*;
use serde::Serialize;
use sorreldeck::Span;
use sorreldeck_emulator::overload::{Admission, Crowd, Instance, Scenario, Summary, World};
use std::path::{Path, PathBuf};

/// The loads, as multiples of what the entry can do.
const LOADS: [f64; 8] = [0.5, 0.75, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0];
const VARIANTS: [(&str, Admission); 3] = [
    ("owed", Admission::Owed),
    ("always ready", Admission::AlwaysReady),
    ("all", Admission::All),
];
const CROWD_AT: Span = Span::from_millis(6_000);
const CROWD_LASTS: Span = Span::from_millis(15_000);

/// The parameters of the experiment.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// The seed
    #[bpaf(long, argument("N"), fallback(1))]
    pub seed: u64,
    /// The entries
    #[bpaf(long, argument("N"), fallback(12), display_fallback)]
    pub entries: usize,
    /// The share of a core that each entry has
    #[bpaf(long, argument("X"), fallback(0.04), display_fallback)]
    pub cores: f64,
    /// The bandwidth of each entry in Mbit/s
    #[bpaf(long, argument("X"), fallback(100.0), display_fallback)]
    pub mbps: f64,
    /// The memory of each entry in MB
    #[bpaf(long, argument("N"), fallback(100), display_fallback)]
    pub memory: u64,
    /// Do not tell the entries their share
    #[bpaf(long, switch)]
    pub untold: bool,
    /// Where a plot is written
    #[bpaf(long, argument("FILE"))]
    pub plot: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Row {
    load: f64,
    /// The requests served a second, of all that are sent.
    goodput: f64,
    offered: f64,
    first_tries: f64,
    served: f64,
    tries: f64,
    p95_ms: u64,
    ended_by_memory: usize,
}

/// Takes one figure of a row.
type Figure = fn(&Row) -> f64;

#[derive(Debug, Serialize)]
struct Variant {
    admission: &'static str,
    rows: Vec<Row>,
}

#[derive(Debug, Serialize)]
struct Outcome {
    variants: Vec<Variant>,
    seed: u64,
    pass: bool,
}

/// Runs the experiment; returns whether what the entry read was served at each load.
///
/// # Errors
///
/// Fails when the plot cannot be written.
pub fn run(options: &Options) -> Result<bool> {
    let variants = VARIANTS.map(|(name, admission)| {
        println!("{name}");
        println!(
            "{:>6}{:>9}{:>9}{:>13}{:>8}{:>7}{:>9}{:>7}",
            "load", "offered", "goodput", "first tries", "served", "tries", "p95 ms", "ended"
        );
        let rows = LOADS.map(|load| row(options, admission, load));
        for row in &rows {
            println!(
                "{:>6}{:>9.1}{:>9.1}{:>13.3}{:>8.3}{:>7.2}{:>9}{:>7}",
                row.load,
                row.offered,
                row.goodput,
                row.first_tries,
                row.served,
                row.tries,
                row.p95_ms,
                row.ended_by_memory
            );
        }
        Variant {
            admission: name,
            rows: rows.to_vec(),
        }
    });
    if let Some(path) = &options.plot {
        plot(path, &variants)?;
    }
    let pass = variants[0].rows.iter().all(|row| row.first_tries >= 0.95);
    print_last(&Outcome {
        variants: variants.into(),
        seed: options.seed,
        pass,
    });
    Ok(pass)
}

fn row(options: &Options, admission: Admission, load: f64) -> Row {
    let mut instance = Instance::new(options.cores, options.mbps, options.memory);
    if options.untold {
        instance.told_cores = 0.0;
    }
    let defaults = Scenario::default();
    let per_s = instance.capacity(defaults.events) * load / defaults.share;
    let scenario = Scenario {
        instances: vec![instance; options.entries],
        admission,
        per_s: per_s.min(instance.capacity(defaults.events)),
        crowds: vec![Crowd {
            at: CROWD_AT,
            lasts: CROWD_LASTS,
            entry: 0,
            per_s,
        }],
        duration: CROWD_AT + CROWD_LASTS,
        ..defaults
    };
    let tally = World::new(scenario, options.seed).run();
    let seen = tally.crowded();
    let seconds = (CROWD_LASTS - Span::from_millis(4_000)).secs_f64();
    let offered = seen.len() as f64 / seconds;
    Row {
        load,
        goodput: round(offered * seen.served()),
        offered: round(offered),
        first_tries: round(seen.first_tries()),
        served: round(seen.served()),
        tries: round(seen.tries()),
        p95_ms: Summary::p95(&seen).millis(),
        ended_by_memory: tally.ended_by_memory,
    }
}

fn plot(path: &Path, variants: &[Variant]) -> Result<()> {
    const EACH: (u32, u32) = (420, 300);
    let figures: [(&str, Figure); 3] = [
        ("first tries served", |row| row.first_tries),
        ("goodput a second", |row| row.goodput),
        ("p95 in ms", |row| row.p95_ms as f64),
    ];
    let area = SVGBackend::new(path, (EACH.0 * 3, EACH.1)).into_drawing_area();
    area.fill(&WHITE)?;
    let colours = [&BLUE, &GREEN, &RED];
    for (area, (name, figure)) in area.split_evenly((1, 3)).iter().zip(figures) {
        let rows = variants.iter().flat_map(|v| &v.rows);
        let top = rows.map(figure).fold(0.0, f64::max) * 1.1;
        let mut chart = ChartBuilder::on(area)
            .caption(name, ("sans-serif", 14))
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..LOADS[LOADS.len() - 1], 0.0..top)?;
        chart.configure_mesh().x_desc("load").draw()?;
        for (variant, colour) in variants.iter().zip(colours) {
            let points = variant.rows.iter().map(|row| (row.load, figure(row)));
            chart
                .draw_series(LineSeries::new(points, colour))?
                .label(variant.admission)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], colour));
        }
        chart.configure_series_labels().border_style(BLACK).draw()?;
    }
    area.present()?;
    Ok(())
}
