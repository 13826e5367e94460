//! How long cutting a stream into events takes, by its length and the pieces it comes in.

use bpaf::Bpaf;
use eyre::Result;
use plotters::prelude::*;
use serde::Serialize;
use sorreldeck::Size;
use sorreldeck_net::events::Events;
use std::path::{Path, PathBuf};
use std::time::Instant;

use crate::stats::print_last;

/// The lengths of a stream of one event, in bytes.
const LENGTHS: [usize; 6] = [64 << 10, 256 << 10, 1 << 20, 2 << 20, 4 << 20, 8 << 20];
/// The sizes of the pieces, in bytes.
const PIECES: [usize; 4] = [1, 64, 1_024, 32 << 10];
/// How often each is measured; the shortest time counts.
const REPEATS: usize = 5;
/// How much longer a byte of the longest stream may take than one of the shortest.
const LONGER: f64 = 2.0;

/// Measure how long cutting a stream into events takes
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// Where a plot is written
    #[bpaf(long, argument("FILE.svg"), optional)]
    pub plot: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Row {
    piece: usize,
    length: usize,
    ns_per_byte: f64,
}

#[derive(Debug, Serialize)]
struct Outcome {
    rows: Vec<Row>,
    pass: bool,
}

/// Measures all lengths and pieces; returns whether the time is proportional to the length.
pub fn run(options: &Options) -> Result<bool> {
    let all = PIECES
        .iter()
        .flat_map(|piece| LENGTHS.map(|length| (*piece, length)));
    let rows: Vec<Row> = all.map(|(piece, length)| measure(piece, length)).collect();
    println!("{:>8} {:>10} {:>12}", "piece", "length", "ns a byte");
    for row in &rows {
        println!(
            "{:>8} {:>10} {:>12.3}",
            row.piece, row.length, row.ns_per_byte
        );
    }
    if let Some(path) = &options.plot {
        plot(path, &rows)?;
    }
    let of = |piece: usize, length: usize| {
        let mut rows = rows.iter();
        let row = rows.find(|row| row.piece == piece && row.length == length);
        row.map_or(0.0, |row| row.ns_per_byte)
    };
    let last = LENGTHS[LENGTHS.len() - 1];
    let pass = PIECES
        .iter()
        .all(|piece| of(*piece, last) <= LONGER * of(*piece, LENGTHS[0]));
    print_last(&Outcome { rows, pass });
    Ok(pass)
}

fn measure(piece: usize, length: usize) -> Row {
    let stream = vec![b'x'; length];
    let mut shortest = f64::INFINITY;
    for _ in 0..REPEATS {
        let mut events = Events::new(Size::from_bytes(length as u64));
        let began = Instant::now();
        for piece in stream.chunks(piece) {
            let whole = events.push(piece).expect("the bound is the length");
            assert!(whole.is_none(), "no event has ended");
        }
        shortest = shortest.min(began.elapsed().as_secs_f64());
    }
    Row {
        piece,
        length,
        ns_per_byte: shortest * 1e9 / length as f64,
    }
}

fn plot(path: &Path, rows: &[Row]) -> Result<()> {
    let area = SVGBackend::new(path, (520, 340)).into_drawing_area();
    area.fill(&WHITE)?;
    let top = rows.iter().map(|row| row.ns_per_byte).fold(0.0, f64::max) * 1.2;
    let last = (LENGTHS[LENGTHS.len() - 1] >> 10) as f64;
    let mut chart = ChartBuilder::on(&area)
        .caption("cutting one event that never ends", ("sans-serif", 14))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..last, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("KiB")
        .y_desc("ns a byte")
        .draw()?;
    for (piece, colour) in PIECES.iter().zip([&BLUE, &GREEN, &RED, &BLACK]) {
        let of_piece = rows.iter().filter(|row| row.piece == *piece);
        let points = of_piece.map(|row| ((row.length >> 10) as f64, row.ns_per_byte));
        chart
            .draw_series(LineSeries::new(points, colour))?
            .label(format!("pieces of {piece}"))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
