//! Attainment over time as an SVG plot.

use plotters::prelude::*;

use crate::load::Error;
use crate::load::Result;
use crate::load::report::Report;

/// Size of the plot in pixels.
const SIZE: (u32, u32) = (960, 480);

/// Writes attainment by second of arrival, a line for each class.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn write_svg(report: &Report, file: &str) -> Result<()> {
    draw(report, file).map_err(|error| Error::Plot {
        file: file.to_owned(),
        message: error.to_string(),
    })
}

fn draw(report: &Report, file: &str) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let seconds = report
        .classes
        .iter()
        .map(|class| class.by_second.len())
        .max()
        .unwrap_or(1);
    let mut chart = ChartBuilder::on(&root)
        .caption("Attainment by second of arrival", ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0..seconds, 0.0..100.0)?;
    chart.configure_mesh().x_desc("s").y_desc("%").draw()?;
    for (index, class) in report.classes.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = class.by_second.iter().enumerate();
        let points = points.filter(|(_, (planned, _))| *planned > 0);
        let points = points.map(|(second, (planned, in_target))| {
            (second, *in_target as f64 * 100.0 / *planned as f64)
        });
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(class.class.as_str())
            .legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 20, y)], color.stroke_width(2))
            });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
