//! Creation and exposition of instruments.

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::error::{Error, Result, ResultCode};

/// Creates a registry and a meter whose instruments it exposes.
pub(super) fn create_registry() -> Result<(Registry, SdkMeterProvider, Meter)> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .without_target_info()
        .scope_info_enabled(false)
        .build()
        .map_err(exposition_error)?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    let meter = provider.meter("endivelanding");
    Ok((registry, provider, meter))
}

/// Returns all metrics of a registry in the Prometheus text format.
pub(super) fn exposition(registry: &Registry) -> Result<String> {
    TextEncoder::new()
        .encode_to_string(&registry.gather())
        .map_err(exposition_error)
}

pub(super) fn counter(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

pub(super) fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(description).build()
}

/// Creates a histogram of durations in seconds.
pub(super) fn duration_histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
    bounds: &[f64],
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_unit("s")
        .with_boundaries(bounds.to_vec())
        .build()
}

fn exposition_error<Cause>(cause: Cause) -> Error
where
    Cause: std::fmt::Display,
{
    Error::new(ResultCode::PlatformInvalid, format!("metrics: {cause}"))
}
