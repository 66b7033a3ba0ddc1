//! Measures what a permit round costs: bytes, rounds a second, processor time and memory.
//!
//! `cargo run --release -p chervilshunt_mesh --example rounds`; the results are recorded in
//! `docs/design/mesh.md`.

mod churn;
mod connections;
mod encodings;
mod memory;
mod throughput;

fn main() {
    println!("Bytes of a permit round by encoding (request, answer, release):\n");
    encodings::print();
    println!("\nBytes of a connection beside its messages:\n");
    connections::print();
    println!("\nRequests to peers chosen at random, by bound on connections:\n");
    churn::print();
    println!("\nRounds through one connection by length of names and number in flight:\n");
    throughput::print();
    println!("\nResident memory by number of idle connections, both ends in one process:\n");
    memory::print();
}
