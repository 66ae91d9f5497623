package bamboostep

import "context"

// Listing is one backend server in the platform's list.
type Listing struct {
	Instance string      `msgpack:"instance"`
	Born     int64       `msgpack:"born"`
	Service  string      `msgpack:"service"`
	Address  string      `msgpack:"address"` // host and port
	Domain   string      `msgpack:"domain"`  // failure domain
	Slots    int         `msgpack:"slots"`
	Leaving  bool        `msgpack:"leaving"`
	Models   []HeldModel `msgpack:"models"`
}

// Directory reads the platform's list of backend servers.
type Directory interface {
	Listings(ctx context.Context) ([]Listing, error)
}
