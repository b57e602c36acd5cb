//! SVG export of a report: a chart of the share of good calls over time, by kind.

use plotters::prelude::*;

use crate::error::Error;
use crate::export::Exporter;
use crate::report::{Step, Summary};

/// The width and height of the chart in pixels.
const SIZE_PIXELS: (u32, u32) = (960, 480);

/// Exports a report as an SVG chart.
pub(crate) struct Svg;

impl Exporter for Svg {
    fn export(&self, summary: &Summary) -> Result<String, Error> {
        let mut text = String::new();
        draw(&mut text, summary).map_err(|error| Error::Picture(error.to_string()))?;
        Ok(text)
    }
}

type DrawError = Box<dyn std::error::Error>;

fn draw(text: &mut String, summary: &Summary) -> Result<(), DrawError> {
    let all = summary.burns.iter().flat_map(|burn| burn.steps.iter());
    let times: Vec<u64> = all.map(|step| step.at.0).collect();
    let first = times.iter().min().copied().unwrap_or(0);
    let last = times.iter().max().copied().unwrap_or(1).max(first + 1);
    let area = SVGBackend::with_string(text, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("good calls, percent, by kind", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..seconds(last - first), 0.0..100.0)?;
    chart
        .configure_mesh()
        .x_desc("seconds since the first step")
        .y_desc("%")
        .draw()?;
    for (index, burn) in summary.burns.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let points = burn
            .steps
            .iter()
            .map(|step| (seconds(step.at.0 - first), good(step)));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(burn.kind.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    drop(chart);
    area.present()?;
    Ok(())
}

#[allow(clippy::cast_precision_loss)]
fn seconds(millis: u64) -> f64 {
    millis as f64 / 1000.0
}

#[allow(clippy::cast_precision_loss)]
fn good(step: &Step) -> f64 {
    let refused: u64 = step.refused.values().sum();
    let all = step.good + step.failed + step.unknown + refused;
    100.0 * step.good as f64 / all.max(1) as f64
}
