//! Charts over time, as SVG.

use plotters::{
    coord::Shift,
    prelude::{
        ChartBuilder, DrawingArea, IntoDrawingArea, LineSeries, RGBColor, Rectangle, SVGBackend,
        WHITE,
    },
    style::{Color, ShapeStyle},
};

use super::FaultSpan;

/// Size of a chart, in pixels.
const SIZE: (u32, u32) = (620, 260);

/// Least length at which a fault is marked, in seconds, so that a sudden one is seen.
const MIN_SPAN_SECONDS: f64 = 0.15;

/// Colour of marked faults.
const FAULT: RGBColor = RGBColor(214, 39, 40);

/// Colours of the lines, in their order.
pub const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(140, 86, 75),
    RGBColor(23, 190, 207),
];

/// Why a chart can't be drawn.
pub type DrawError = Box<dyn std::error::Error + Send + Sync>;

/// One line of a chart.
pub struct Line {
    /// Values, one a window.
    pub values: Vec<f64>,
}

/// A chart over time.
pub struct Chart<'a> {
    /// Title.
    pub title: &'a str,
    /// Unit of the values.
    pub unit: &'a str,
    /// Lines.
    pub lines: Vec<Line>,
    /// Strains and faults.
    pub spans: &'a [FaultSpan],
    /// Length of a window, in seconds.
    pub window_seconds: f64,
    /// Top of the value axis, the same for charts that are compared.
    pub top: f64,
}

impl Chart<'_> {
    /// Draws the chart.
    pub fn draw(&self) -> Result<String, DrawError> {
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
            self.draw_on(&area)
                .map_err(|error| DrawError::from(error.to_string()))?;
        }
        Ok(svg)
    }

    fn draw_on<'b>(
        &self,
        area: &DrawingArea<SVGBackend<'b>, Shift>,
    ) -> Result<(), Box<dyn std::error::Error + 'b>> {
        area.fill(&WHITE)?;
        let windows = self.lines.iter().map(|line| line.values.len()).max();
        let seconds = windows.unwrap_or(1) as f64 * self.window_seconds;
        let top = if self.top > 0.0 { self.top * 1.05 } else { 1.0 };
        let mut chart = ChartBuilder::on(area)
            .caption(self.title, ("sans-serif", 15))
            .margin(6)
            .x_label_area_size(32)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..seconds, 0.0..top)?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc(self.unit)
            .light_line_style(WHITE)
            .draw()?;
        chart.draw_series(self.spans.iter().map(|span| {
            let to = span.to.max(span.from + MIN_SPAN_SECONDS);
            Rectangle::new(
                [(span.from, 0.0), (to, top)],
                ShapeStyle::from(FAULT.mix(0.10)).filled(),
            )
        }))?;
        for (line, colour) in self.lines.iter().zip(COLOURS.iter().cycle()) {
            let points = line
                .values
                .iter()
                .enumerate()
                .map(|(window, value)| ((window as f64 + 0.5) * self.window_seconds, *value));
            chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        }
        area.present()?;
        Ok(())
    }
}
