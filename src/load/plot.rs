//! A plot of the times to the first piece.

use std::error::Error;
use std::path::Path;

use plotters::prelude::BLACK;
use plotters::prelude::ChartBuilder;
use plotters::prelude::Color;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::IntoLogRange;
use plotters::prelude::LineSeries;
use plotters::prelude::Palette;
use plotters::prelude::Palette99;
use plotters::prelude::PathElement;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;

use crate::load::report::Report;

const SIZE: (u32, u32) = (900, 500);
/// The least time on the scale, in milliseconds.
const LEAST: f64 = 0.1;

/// Draws a line for each kind of caller: percentiles to the right, milliseconds up.
pub fn draw(report: &Report, path: &Path) -> Result<(), Box<dyn Error>> {
    let times = report.rows.iter().flat_map(|row| row.first_curve.iter().map(|(_, time)| *time));
    let most = times.fold(LEAST * 10.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..100.0, (LEAST..most).log_scale())?;
    chart.configure_mesh().x_desc("percentile").y_desc("ms to the first piece").draw()?;
    for (i, row) in report.rows.iter().enumerate() {
        let colour = Palette99::pick(i).to_rgba();
        let points = row.first_curve.iter().map(|(x, y)| (*x, y.max(LEAST)));
        let line = LineSeries::new(points, colour.stroke_width(2));
        let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], colour);
        chart.draw_series(line)?.label(&row.name).legend(legend);
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
