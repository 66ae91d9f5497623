// Package stock decides what lies where in accelerator memory; the field would
// call its halves admission of memory reservations and model placement.
//
// An agent's reservations and the placer are both pure state machines. The
// reservations are the truth of one VM: nothing is loaded that they do not have
// room for, whoever asks. The placer sees all VMs through reports that lag, so it
// only ever proposes moves, and a move that turned out not to fit is refused by
// the agent and proposed anew in a later round.
package stock
