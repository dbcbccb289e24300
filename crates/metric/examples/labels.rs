//! Limits the number of labels, whatever callers send: `cargo run -p metric --example labels`.

fn main() {
    let limiter = metric::LabelLimiter::new(2);
    for workspace in [
        "tractor-line",
        "ferry-yard",
        "rail-cabinets",
        "tractor-line",
    ] {
        println!("{workspace}: {}", limiter.label(workspace));
    }
}
