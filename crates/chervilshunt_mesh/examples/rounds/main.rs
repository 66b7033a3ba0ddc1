//! Measures the cost of a permit round: bytes, rounds per second, CPU time and memory.
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
    println!("\nBytes of a connection in addition to its messages:\n");
    connections::print();
    println!("\nRequests to peers chosen at random, by connection limit:\n");
    churn::print();
    println!("\nRounds on one connection by message size and number in flight:\n");
    throughput::print();
    println!("\nResident memory by number of idle connections, both ends in one process:\n");
    memory::print();
}
