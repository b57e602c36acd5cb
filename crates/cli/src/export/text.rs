//! Plain text export of a report: a table and notes.

use std::fmt::Write as _;

use tabled::builder::Builder;
use tabled::settings::Style;

use crate::error::Error;
use crate::export::Exporter;
use crate::report::{Burn, Summary};

/// Exports a report as plain text.
pub(crate) struct Text;

impl Exporter for Text {
    fn export(&self, summary: &Summary) -> Result<String, Error> {
        let mut builder = Builder::default();
        let short = format!("burn {}", summary.short);
        let long = format!("burn {}", summary.long);
        builder.push_record([
            "service",
            "kind",
            "objective",
            "achieved",
            "good",
            "failed",
            "unknown",
            "refused",
            "budget spent",
            &short,
            &long,
        ]);
        for burn in &summary.burns {
            builder.push_record(record(burn));
        }
        let mut text = builder.build().with(Style::psql()).to_string();
        for burn in &summary.burns {
            for (reason, count) in &burn.total.refused {
                // Writing to a string can't fail.
                let _ = write!(text, "\n{} refused for {reason}: {count}", burn.kind);
            }
        }
        let _ = write!(
            text,
            "\nunknown outcomes still open: {}",
            summary.unknown_open
        );
        let _ = write!(text, "\nnodes asked: {}", summary.nodes);
        for missing in &summary.missing {
            let _ = write!(text, "\nnot counted: {missing}");
        }
        Ok(text)
    }
}

fn record(burn: &Burn) -> [String; 11] {
    let refused: u64 = burn.total.refused.values().sum();
    [
        burn.service.clone(),
        burn.kind.clone(),
        percent(burn.objective),
        percent(burn.achieved),
        burn.total.good.to_string(),
        burn.total.failed.to_string(),
        burn.total.unknown.to_string(),
        refused.to_string(),
        percent(burn.budget_spent),
        format!("{:.1}x", burn.short_rate),
        format!("{:.1}x", burn.long_rate),
    ]
}

fn percent(share: f64) -> String {
    format!("{:.2} %", share * 100.0)
}
