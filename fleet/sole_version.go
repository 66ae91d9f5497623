package fleet

import "time"

// Whether all backend servers of a service run one software version, and since when. A stream whose
// beginning nobody has kept can go on at that version if the service has had no other since the stream broke off: the
// backend server that wrote its last event was one of these. A backend server whose version is not known
// yet may be of any.

// versionHistory is what is known of the software versions of a service. The fleet's mu guards it.
type versionHistory struct {
	version string    // of the servers in the last list with one version
	since   time.Time // no server of another version has been known since; zero before the first list
}

// SoleVersion returns the software version of all backend servers of a service, and false if there are several, or one
// that is unknown, or if another was served at any time since.
func (f *Fleet) SoleVersion(service string, since time.Time) (version string, sole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	h := f.versions[service]
	if h == nil || h.version == "" || h.since.After(since) {
		return "", false
	}
	for _, s := range f.byService[service] {
		if s.listing.SoftwareVersion != h.version {
			return "", false
		}
	}
	return h.version, len(f.byService[service]) > 0
}

// noteVersions records which versions a list that was read at a time shows. f.mu is held.
func (f *Fleet) noteVersions(at time.Time) {
	for service, servers := range f.byService {
		h := f.versions[service]
		if h == nil {
			h = &versionHistory{since: at}
			f.versions[service] = h
		}
		for _, s := range servers {
			h.note(s.listing.SoftwareVersion, at)
		}
	}
}

// note records that a server with a version is known at a time.
func (h *versionHistory) note(version string, at time.Time) {
	if version == "" || version == h.version {
		return // one that is unknown is asked about when it matters
	}
	if h.version != "" {
		h.since = at
	}
	h.version = version
}

// noteUnknownVersion records that a server has gone whose version was never known. f.mu is held.
func (f *Fleet) noteUnknownVersion(s *server) {
	if h := f.versions[s.listing.Service]; h != nil && s.listing.SoftwareVersion == "" && s.reportAt.After(h.since) {
		h.since = s.reportAt
	}
}
