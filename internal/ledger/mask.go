package ledger

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"

	"silvertrail/internal/balancer/idempotency"
)

// The kinds of hashed values. The kind is part of the hash, so that equal values of different kinds have different hashes.
const (
	kindKey         = "key"
	kindTenant      = "tenant"
	kindKeyID       = "id"
	kindFingerprint = "print"
)

// maskName returns a name as it is stored: in plain text, or hashed if there is a secret.
func (l *Ledger) maskName(kind, name string) string {
	secret := l.options.Load().Secret
	if secret == nil || name == "" {
		return name
	}
	return HashName(secret, kind, name)
}

// HashName returns the hash of a name under a secret, in hexadecimal. Kind is "key" or "tenant".
func HashName(secret []byte, kind, name string) string {
	h := keyedHash(secret, kind, []byte(name))
	return hex.EncodeToString(h[:])
}

// keyedHash returns the first half of the HMAC-SHA-256 of a kind and its data.
func keyedHash(secret []byte, kind string, data []byte) (out [16]byte) {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(kind))
	mac.Write([]byte{0})
	mac.Write(data)
	copy(out[:], mac.Sum(nil))
	return out
}

// maskKeyID returns a key's ID as it is stored.
func (l *Ledger) maskKeyID(id idempotency.KeyID) idempotency.KeyID {
	if secret := l.options.Load().Secret; secret != nil {
		return keyedHash(secret, kindKeyID, id[:])
	}
	return id
}

// MaskFingerprint returns a request's fingerprint as it is stored.
func (l *Ledger) MaskFingerprint(f idempotency.Fingerprint) idempotency.Fingerprint {
	if secret := l.options.Load().Secret; secret != nil && f != (idempotency.Fingerprint{}) {
		return keyedHash(secret, kindFingerprint, f[:])
	}
	return f
}
