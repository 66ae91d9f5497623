// Package dispatch decides what happens to callers' requests: which backend
// server gets an attempt, whether a request is admitted at all, when a failed
// attempt is retried, and which requests are suspected of crashing backend
// servers. The field calls it request routing and admission control.
//
// Everything here is pure: events, the time and a seed go in, decisions come out.
// The package starts no goroutine, opens no socket and reads no clock; program
// entry does so on its behalf.
package dispatch
