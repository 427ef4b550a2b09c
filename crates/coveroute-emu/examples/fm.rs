use coveroute_emu::fleet::measure::*;
fn main() {
    let t = std::time::Instant::now();
    let n: u64 = std::env::args().nth(1).and_then(|a| a.parse().ok()).unwrap_or(1000);
    println!("{:?} {:?}", schedules(1, n), t.elapsed());
    for (loss, s) in [(0.0, 600.0), (0.1, 600.0), (0.3, 600.0)] {
        println!("loss {loss}: {} an hour {:?}", false_deaths_an_hour(12, loss, s, 32), t.elapsed());
    }
    for nodes in [12, 30, 300] {
        println!("{:?} {:?}", size(nodes, if nodes > 100 { 3 } else { 50 }, 1), t.elapsed());
    }
}
