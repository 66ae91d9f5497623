package bamboostep

import "github.com/cespare/xxhash/v2"

// A caller that sends a request again gives it another ID. What a request asks for is
// therefore known by a hash of its content, which all entries compute alike.

// Fingerprint hashes the body of a request and the names that say what it asks for,
// such as its path and its model.
func Fingerprint(body []byte, names ...string) uint64 {
	d := xxhash.New()
	for _, s := range names {
		d.WriteString(s)
		d.Write([]byte{0})
	}
	d.Write(body)
	return d.Sum64()
}
