//! Grouped bar charts.

use crate::Error;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

/// Size of a drawing, in pixels.
const SIZE: (u32, u32) = (960, 960);
/// Colours of the arms, in order.
const COLOURS: [RGBColor; 2] = [RGBColor(170, 170, 170), RGBColor(31, 119, 180)];
/// Width of a group's bars, as a fraction of the width of the group.
const GROUP_WIDTH: f64 = 0.8;
/// Height of the vertical axis, as a multiple of the highest bar.
const AXIS_HEIGHT: f64 = 1.15;

/// The bars of all arms for one quantity, side by side.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Label of the group.
    pub name: String,
    /// Height of each arm's bar.
    pub values: Vec<f64>,
}

/// A panel of a drawing.
#[derive(Clone, Debug, PartialEq)]
pub struct Bars {
    /// Title.
    pub title: String,
    /// Unit of the heights.
    pub unit: String,
    /// Names of the arms.
    pub arms: Vec<String>,
    /// Groups of bars.
    pub groups: Vec<Group>,
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws panels, one below the other, into an SVG file.
///
/// # Errors
///
/// [`Error::Failed`] if it cannot be written.
pub fn draw(path: &Path, title: &str, panels: &[Bars]) -> Result<(), Error> {
    let failed = |error: String| Error::Failed {
        reason: format!("{}: {error}", path.display()),
    };
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    paint(&root, title, panels).map_err(|error| failed(error.to_string()))?;
    root.present().map_err(|error| failed(error.to_string()))
}

fn paint(root: &Area<'_>, title: &str, panels: &[Bars]) -> Result<(), Box<dyn std::error::Error>> {
    root.fill(&WHITE)?;
    let root = root.titled(title, ("sans-serif", 24))?;
    let areas = root.split_evenly((panels.len(), 1));
    for (area, bars) in areas.iter().zip(panels) {
        panel(area, bars)?;
    }
    Ok(())
}

fn panel(area: &Area<'_>, bars: &Bars) -> Result<(), Box<dyn std::error::Error>> {
    let values = bars.groups.iter().flat_map(|group| &group.values);
    let top = values.copied().fold(0.0, f64::max).max(0.01) * AXIS_HEIGHT;
    let count = bars.groups.len() as f64;
    let mut chart = ChartBuilder::on(area)
        .caption(&bars.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(28)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..count, 0.0..top)?;
    let name = |index: &f64| {
        let group = bars.groups.get(*index as usize);
        group.map_or(String::new(), |group| group.name.clone())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .disable_x_axis()
        .y_desc(&bars.unit)
        .draw()?;
    for (number, arm) in bars.arms.iter().enumerate() {
        let colour = COLOURS[number % COLOURS.len()];
        chart
            .draw_series(rectangles(bars, number, colour))?
            .label(arm)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    let labels = (0..bars.groups.len()).map(|index| {
        let center = index as f64 + 0.5;
        let style = ("sans-serif", 12).into_font();
        Text::new(
            name(&center),
            (center - GROUP_WIDTH / 2.0, top * 0.99),
            style,
        )
    });
    chart.draw_series(labels)?;
    chart.configure_series_labels().border_style(BLACK).draw()?;
    Ok(())
}

fn rectangles(
    bars: &Bars,
    arm: usize,
    colour: RGBColor,
) -> impl Iterator<Item = Rectangle<(f64, f64)>> + '_ {
    let width = GROUP_WIDTH / bars.arms.len().max(1) as f64;
    let groups = bars.groups.iter().enumerate();
    groups.map(move |(index, group)| {
        let left = index as f64 + (1.0 - GROUP_WIDTH) / 2.0 + arm as f64 * width;
        let height = group.values.get(arm).copied().unwrap_or_default();
        Rectangle::new([(left, 0.0), (left + width, height)], colour.filled())
    })
}
