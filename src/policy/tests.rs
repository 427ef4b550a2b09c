use super::*;
use test_case::test_case;

#[test_case(&[8.0, 5.0, 2.0], 7.0, &[5.0, 2.0, 0.0]; "the paper's example two: the slowest is left out")]
#[test_case(&[2.0, 8.0, 5.0], 7.0, &[0.0, 5.0, 2.0]; "order does not matter")]
#[test_case(&[4.0, 4.0], 2.0, &[1.0, 1.0]; "equal rates share evenly")]
#[test_case(&[0.0, 0.0], 0.0, &[0.0, 0.0]; "no rates, no shares")]
#[test_case(&[3.0, 1.0], 4.0, &[3.0, 1.0]; "phi at the sum")]
#[test_case(&[3.0, 1.0], 6.0, &[4.0, 2.0]; "phi over the sum")]
#[test_case(&[3.0], 2.0, &[2.0]; "one executor")]
#[test_case(&[], 2.0, &[]; "no executor")]
fn splits_by_coop(mu: &[f64], phi: f64, beta: &[f64]) {
    let got = coop(mu, phi);
    assert!(got.len() == beta.len() && got.iter().zip(beta).all(|(a, b)| (a - b).abs() < 1e-9), "{got:?}");
}
