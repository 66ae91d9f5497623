package fleet

// Models that are needed at a software version.
//
// A stream goes on only at the software version at which it began, also if its model is held at other versions
// alone. The entry then tells the voters, and the leader has an engine of that version load the model.

// VersionNeed is a model that a stream needs at an engine of one software version, where none holds it.
type VersionNeed struct {
	Service string `msgpack:"service"`
	Model   string `msgpack:"model"`
	Version string `msgpack:"software"`
}

// maxVersionNeeds bounds the needs between two reports to voters.
const maxVersionNeeds = 64

// CountMissingAtVersion records a need, and signals urgent demand so that the voters learn of it immediately.
func (f *Fleet) CountMissingAtVersion(n VersionNeed) {
	f.mu.Lock()
	f.init()
	if len(f.versionNeeds) < maxVersionNeeds {
		f.versionNeeds[n] = true
	}
	f.mu.Unlock()
	f.signalUrgentDemand()
}

// TakeVersionNeeds returns the needs since the previous call.
func (f *Fleet) TakeVersionNeeds() []VersionNeed {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	var needs []VersionNeed
	for n := range f.versionNeeds {
		needs = append(needs, n)
	}
	clear(f.versionNeeds)
	return needs
}

// AddressesOfVersion returns the addresses of the backend servers of a service that run a software version and
// are not leaving.
func (f *Fleet) AddressesOfVersion(service, version string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	var addresses []string
	for _, s := range f.byService[service] {
		if s.listing.SoftwareVersion == version && !s.listing.Leaving {
			addresses = append(addresses, s.listing.Address)
		}
	}
	return addresses
}
