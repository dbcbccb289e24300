//! Labels stay bounded, whatever callers send: `cargo run -p metric --example labels`.

fn main() {
    let bound = metric::Bound::new(2);
    for workspace in [
        "tractor-line",
        "ferry-yard",
        "rail-cabinets",
        "tractor-line",
    ] {
        println!("{workspace}: {}", bound.label(workspace));
    }
}
