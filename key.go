package bamboostep

import "crypto/sha256"

// Key is the SHA-256 digest of a caller's API key. The keys themselves are not stored: a
// digest does not grant access to whoever reads it, and the time to look one up reveals
// nothing about the key.
type Key [sha256.Size]byte

// NewKey returns the digest of an API key.
func NewKey(secret string) Key { return sha256.Sum256([]byte(secret)) }
