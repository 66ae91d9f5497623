// Package bamboostep defines the types shared by all packages of a serving system
// that runs more models and adapters than its accelerators can hold at once.
//
// The types are the objects that operators declare (Model, Adapter, Version, Place,
// Service), the messages between an entry and an agent (Offer, Answer, Order,
// Report), the HTTP requests forwarded by a gateway (Call), the error types, and the
// interfaces with more than one implementation or a test double (such as Clock,
// Engine, Platform, Router and Placer). The subdirectories implement them.
//
// A value must not be modified after it was shared with another goroutine; this
// includes the slices and maps in it. Methods whose names start with With return a
// modified copy.
package bamboostep
