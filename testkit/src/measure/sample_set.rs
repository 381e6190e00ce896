use serde_json::{Value, json};

/// Samples of one quantity.
#[derive(Debug, Clone, Default)]
pub struct SampleSet {
    samples: Vec<f64>,
}

impl SampleSet {
    /// Adds a sample.
    pub fn add(&mut self, sample: f64) {
        self.samples.push(sample);
    }

    /// Adds all samples of another set.
    pub fn extend(&mut self, other: &SampleSet) {
        self.samples.extend_from_slice(&other.samples);
    }

    /// Returns the nearest-rank quantile: the smallest sample such that the given fraction of all
    /// samples does not exceed it, or 0 if there are no samples.
    #[must_use]
    pub fn quantile(&self, fraction: f64) -> f64 {
        let mut sorted = self.samples.clone();
        sorted.sort_by(f64::total_cmp);
        let rank = (fraction * sorted.len() as f64).ceil() as usize;
        sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
    }

    /// Returns the sum of all samples.
    #[must_use]
    pub fn sum(&self) -> f64 {
        self.samples.iter().sum()
    }

    /// Returns the count, mean, median, 99th percentile and maximum as JSON, rounded to tenths.
    #[must_use]
    pub fn report(&self) -> Value {
        let round = |value: f64| (value * 10.0).round() / 10.0;
        let mean = self.sum() / self.samples.len().max(1) as f64;
        json!({
            "count": self.samples.len(),
            "mean": round(mean),
            "median": round(self.quantile(0.5)),
            "p99": round(self.quantile(0.99)),
            "worst": round(self.quantile(1.0)),
        })
    }
}

impl FromIterator<f64> for SampleSet {
    fn from_iter<I>(samples: I) -> SampleSet
    where
        I: IntoIterator<Item = f64>,
    {
        SampleSet {
            samples: samples.into_iter().collect(),
        }
    }
}
