// Package stock decides which models and adapters reside in the accelerator
// memory of each VM. It has two parts: MemoryReservations admits memory reservations on one
// VM, and the placers (Placer, Spread, Static and OnDemand) choose the VMs on
// which models are loaded and unloaded.
//
// Both parts are state machines without I/O. MemoryReservations is authoritative for its VM:
// nothing is loaded there without a reservation, whoever sent the order. The
// placers see all VMs, but only through reports that lag, so they only propose
// moves. The agent refuses a move that does not fit, and a later round proposes
// another.
package stock
