use std::fmt;

use serde::{Deserialize, Serialize};

use crate::burn::BurnRow;
use crate::clock::ClockTime;

/// Width of the bar in the text chart, in characters.
const BAR_WIDTH: usize = 20;

/// Error budgets and burn rates by service and kind.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Length of the short window.
    pub short_window: ClockTime,
    /// Length of the long window.
    pub long_window: ClockTime,
    /// Time that the counts cover, at most the long window. Counts are lost when a node restarts.
    pub covered: ClockTime,
    /// Rows, sorted by service and kind.
    pub rows: Vec<BurnRow>,
}

impl BurnReport {
    /// Merges the report of another node into this one.
    pub fn merge(&mut self, other: &Self) {
        self.short_window = other.short_window;
        self.long_window = other.long_window;
        self.covered = self.covered.max(other.covered);
        for row in &other.rows {
            let existing = self
                .rows
                .iter_mut()
                .find(|existing| existing.service == row.service && existing.kind == row.kind);
            match existing {
                Some(existing) => existing.add(row),
                None => self.rows.push(row.clone()),
            }
        }
        self.rows
            .sort_by(|a, b| (&a.service, &a.kind).cmp(&(&b.service, &b.kind)));
    }
}

impl fmt::Display for BurnReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "service-level burn: windows {} s and {} s, covered {} s",
            self.short_window.0 / 1_000,
            self.long_window.0 / 1_000,
            self.covered.0 / 1_000,
        )?;
        writeln!(
            formatter,
            "{:<14} {:<14} {:>9} {:>9} {:>7} {:>10} {:>9}  {:<BAR_WIDTH$}  bad by code",
            "service",
            "kind",
            "objective",
            "calls",
            "bad",
            "burn short",
            "burn long",
            "budget left"
        )?;
        for row in &self.rows {
            let codes: Vec<String> = row
                .bad_by_code
                .iter()
                .map(|(code, count)| format!("{code}:{count}"))
                .collect();
            writeln!(
                formatter,
                "{:<14} {:<14} {:>9} {:>9} {:>7} {:>10.2} {:>9.2}  {}  {}",
                row.service.as_str(),
                row.kind.as_str(),
                row.objective,
                row.long_calls,
                row.long_bad,
                row.short_burn_rate(),
                row.long_burn_rate(),
                budget_bar(row.budget_left()),
                codes.join(" "),
            )?;
        }
        Ok(())
    }
}

fn budget_bar(left: f64) -> String {
    let filled = (left.clamp(0.0, 1.0) * BAR_WIDTH as f64).round() as usize;
    format!("{}{}", "#".repeat(filled), ".".repeat(BAR_WIDTH - filled))
}
