// Package bamboostep is the root of a serving system that runs many models and
// adapters on fewer accelerators.
//
// The package holds what every other package agrees on: the objects that
// operators declare (Model, Adapter, Version, Place, Service), the messages that
// travel between an entry and an agent (Offer, Answer, Order, Report), the error
// types, and the interfaces of everything whose behaviour varies (Clock, Engine,
// Store, Platform, Router, Placer). Implementations live in the folders below.
//
// All values here are immutable once shared: a change is made by a With method
// that returns a copy. Slices and maps inside a value must not be written to
// after the value has been handed to another goroutine.
package bamboostep
