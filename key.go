package bamboostep

import "crypto/sha256"

// KeyDigest is the SHA-256 digest of a caller's API key. The keys themselves are not stored: a
// digest does not grant access to whoever reads it, and the time to look one up reveals
// nothing about the key.
type KeyDigest [sha256.Size]byte

// NewKeyDigest returns the digest of an API key.
func NewKeyDigest(secret string) KeyDigest { return sha256.Sum256([]byte(secret)) }
