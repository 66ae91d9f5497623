package bamboostep

import "context"

// Listing is the entry of one backend server in the platform's list.
type Listing struct {
	Instance  string        `msgpack:"instance"` // ID of this start of the backend server
	StartedMS int64         `msgpack:"born"`     // start time, Unix milliseconds
	Service   string        `msgpack:"service"`
	Address   string        `msgpack:"address"` // host and port
	Domain    string        `msgpack:"domain"`  // failure domain
	Slots     int           `msgpack:"slots"`   // requests that it can process concurrently
	Leaving   bool          `msgpack:"leaving"` // shutting down
	Models    []LoadedModel `msgpack:"models"`  // models that it holds

	// SoftwareVersion is the version of the backend server's software, not of a model's weights. Equal
	// strings are equal versions; empty if unknown, which equals no version.
	SoftwareVersion string `msgpack:"software,omitempty"`
}

// Directory reads the platform's list of backend servers.
type Directory interface {
	// Listings returns the backend servers that are ready or shutting down.
	Listings(ctx context.Context) ([]Listing, error)
}
